/** The admin API, through which operators exclude servers and query readiness. */
package tinford.routing.admin;
