/** Follows the control servers over HTTP and keeps the last good configuration on disk. */
package tinford.fleet.follow;
