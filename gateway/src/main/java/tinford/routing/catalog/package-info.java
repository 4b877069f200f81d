/** The request classes and plans that clients may name. */
package tinford.routing.catalog;
