/** Calls on the shared counter over a few parallel connections. */
package tinford.routing.counter;
