/** The servers on the endpoint list, the connections to them and the attempts on these. */
package tinford.routing.upstream;
