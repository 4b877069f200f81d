/** The watch on discovery, which keeps the endpoint list current. */
package tinford.routing.discovery;
