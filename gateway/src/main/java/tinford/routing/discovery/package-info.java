/** The watch on discovery, which keeps the endpoint list up to date. */
package tinford.routing.discovery;
