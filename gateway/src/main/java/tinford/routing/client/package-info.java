/** Client connections: commands in, responses out in the order of the commands. */
package tinford.routing.client;
