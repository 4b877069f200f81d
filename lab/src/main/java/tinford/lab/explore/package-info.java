/**
 * Exhaustive exploration of small plans of moves on the real state machine and routing; {@code lab
 * explore}.
 */
package tinford.lab.explore;
