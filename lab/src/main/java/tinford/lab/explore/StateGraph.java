package tinford.lab.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The states that were found, numbered in the order in which they were; by which step each was
 * first reached; and which lead to which without a fault.
 */
final class StateGraph {
    /** The parent of the first state. */
    static final int NONE = -1;

    private final Map<String, Integer> numbers = new HashMap<>();
    private int[] parents = new int[1 << 10];
    private String[] steps = new String[1 << 10];
    private int[] sources = new int[1 << 12];
    private int[] targets = new int[1 << 12];
    private int edges;
    private final List<Integer> ends = new ArrayList<>();

    /** Its number, or {@link #NONE}. */
    int number(String form) {
        return numbers.getOrDefault(form, NONE);
    }

    /** A state that is not there yet. */
    int add(String form, int parent, String step, boolean end) {
        int number = numbers.size();
        numbers.put(form, number);
        if (number == parents.length) {
            parents = Arrays.copyOf(parents, 2 * number);
            steps = Arrays.copyOf(steps, 2 * number);
        }
        parents[number] = parent;
        steps[number] = step;
        if (end) {
            ends.add(number);
        }
        return number;
    }

    void edge(int source, int target) {
        if (edges == sources.length) {
            sources = Arrays.copyOf(sources, 2 * edges);
            targets = Arrays.copyOf(targets, 2 * edges);
        }
        sources[edges] = source;
        targets[edges++] = target;
    }

    int states() {
        return numbers.size();
    }

    int edges() {
        return edges;
    }

    int ends() {
        return ends.size();
    }

    /** The steps from the first state to this one. */
    List<String> story(int state) {
        List<String> story = new ArrayList<>();
        for (int at = state; at >= 0; at = parents[at]) {
            story.add(steps[at]);
        }
        Collections.reverse(story);
        return story;
    }

    /** The first state from which no end is within reach along the edges, or {@link #NONE}. */
    int firstStuck() {
        boolean[] reaches = reachesEnd();
        for (int state = 0; state < states(); state++) {
            if (!reaches[state]) {
                return state;
            }
        }
        return NONE;
    }

    private boolean[] reachesEnd() {
        int[] first = firstIncoming();
        int[] incoming = incoming(first);
        boolean[] reaches = new boolean[states()];
        ArrayDeque<Integer> open = new ArrayDeque<>(ends);
        ends.forEach(end -> reaches[end] = true);
        while (!open.isEmpty()) {
            int state = open.poll();
            for (int edge = first[state]; edge < first[state + 1]; edge++) {
                if (!reaches[incoming[edge]]) {
                    reaches[incoming[edge]] = true;
                    open.add(incoming[edge]);
                }
            }
        }
        return reaches;
    }

    /** Where the sources of the edges into each state begin in {@link #incoming}. */
    private int[] firstIncoming() {
        int[] first = new int[states() + 1];
        for (int edge = 0; edge < edges; edge++) {
            first[targets[edge] + 1]++;
        }
        for (int state = 0; state < states(); state++) {
            first[state + 1] += first[state];
        }
        return first;
    }

    private int[] incoming(int[] first) {
        int[] next = first.clone();
        int[] incoming = new int[edges];
        for (int edge = 0; edge < edges; edge++) {
            incoming[next[targets[edge]]++] = sources[edge];
        }
        return incoming;
    }
}
