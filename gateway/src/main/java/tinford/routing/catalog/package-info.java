/** The request classes and plans that clients may name in their requests. */
package tinford.routing.catalog;
