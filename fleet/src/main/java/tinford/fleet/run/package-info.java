/**
 * One gateway of a fleet as a process: its operator file, the threads between the log and the
 * gateway, and the main class.
 */
package tinford.fleet.run;
