/**
 * The request path on the sockets. What all its parts share lies in this package; each subpackage
 * is one concern and knows the others only as far as this list says:
 *
 * <ul>
 *   <li>{@code dispatch}: turns what came in into events for the decision module, and its actions
 *       into calls on the other parts; knows all of them but {@code admin};
 *   <li>{@code client}: client connections and the requests on them; knows {@code catalog} and
 *       {@code upstream};
 *   <li>{@code upstream}: the servers and the connections to them;
 *   <li>{@code counter}: calls on the shared counter;
 *   <li>{@code discovery}: the watch on the endpoint list;
 *   <li>{@code peer}: gossip between gateways;
 *   <li>{@code admin}: the admin API; knows {@code upstream};
 *   <li>{@code catalog}: the request classes and plans in force.
 * </ul>
 *
 * <p>All of it runs on the one I/O thread. Times are milliseconds on the gateways' shared clock,
 * unless a name says otherwise.
 */
package tinford.routing;
