/**
 * The configuration of the fleet as a sequence of numbered revisions: its types, their validation
 * and encoding, the replicated state machine that accepts changes, and the follower that keeps a
 * gateway up to date. Nothing in this package does I/O, starts a thread or reads a clock; time and
 * randomness are passed in.
 */
package tinford.fleet.config;
