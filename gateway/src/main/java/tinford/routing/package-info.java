/**
 * Request routing over network connections. This package holds what all subpackages share. Each
 * subpackage has one responsibility and depends on other subpackages only as stated here:
 *
 * <ul>
 *   <li>{@code dispatch}: passes network input to the decision module as events, and carries out
 *       the actions of the decision module; depends on all other subpackages except {@code admin};
 *   <li>{@code client}: client connections and their requests; depends on {@code catalog} and
 *       {@code upstream};
 *   <li>{@code upstream}: the servers and the connections to them;
 *   <li>{@code counter}: calls to the shared counter;
 *   <li>{@code discovery}: the watch on the endpoint list;
 *   <li>{@code peer}: gossip between gateways;
 *   <li>{@code admin}: the admin API; depends on {@code upstream};
 *   <li>{@code catalog}: the request classes and plans in force.
 * </ul>
 *
 * <p>All classes are confined to the I/O thread, unless their documentation says otherwise. Times
 * are in milliseconds on the clock that the gateways share, unless a name states another unit.
 */
package tinford.routing;
