/** The dispatcher, which connects the decision module to the other packages of the request path. */
package tinford.routing.dispatch;
