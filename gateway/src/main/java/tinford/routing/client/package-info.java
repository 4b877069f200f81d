/** Client connections, and the requests and responses on them. */
package tinford.routing.client;
