package tinford.lab.explore;

import java.util.List;

/**
 * What came of an exploration.
 *
 * @param states how many were found
 * @param edges how often one leads to another without a fault
 * @param ends states in which the moves are done or undone
 * @param broken the promise that was broken, or null
 * @param story the steps that lead there, the fewest there are; null where none was broken
 */
record ExplorationResult(int states, int edges, int ends, List<String> story, String broken) {}
