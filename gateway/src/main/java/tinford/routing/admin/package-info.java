/** The admin API, by which operators exclude servers and ask for readiness. */
package tinford.routing.admin;
