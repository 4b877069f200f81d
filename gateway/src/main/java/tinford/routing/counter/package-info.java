/** Calls to the shared counter over several parallel connections. */
package tinford.routing.counter;
