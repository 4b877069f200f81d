/** The dispatcher between the decision module and the parts of the request path. */
package tinford.routing.dispatch;
