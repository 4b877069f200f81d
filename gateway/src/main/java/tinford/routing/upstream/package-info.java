/** The servers on the endpoint list, the connections to them, and attempts. */
package tinford.routing.upstream;
