package tinford.lab.fleet;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * While any gateway says that it is strained, further dispatches of all of them are at most a part
 * of the first ones, second by second.
 */
final class RetryBudgetPromise implements Promise {
    private static final double SPAN = 1000;
    private static final int FEW = 5; // of chance and of what was under way
    private final double part;
    private final Set<Integer> strained = new HashSet<>();
    private final ArrayDeque<History.Line> recent = new ArrayDeque<>();
    private double since = Double.POSITIVE_INFINITY;
    private int further;

    RetryBudgetPromise(double part) {
        this.part = part;
    }

    @Override
    public void see(History.Line l, IncarnationTracker lives, Finds finds) {
        if (l.kind().equals("strained")) {
            boolean change = l.is("on") ? strained.add(l.gateway()) : strained.remove(l.gateway());
            if (change && l.is("on") && strained.size() == 1) {
                since = l.at();
            }
        } else if (l.kind().equals("killed")) {
            strained.remove(l.number("who"));
        }
        if (!l.kind().equals("dispatch")) {
            return;
        }
        recent.add(l);
        further += l.is("further") ? 1 : 0;
        while (l.at() - recent.peek().at() > SPAN) {
            further -= recent.poll().is("further") ? 1 : 0;
        }
        int first = recent.size() - further;
        if (!strained.isEmpty()
                && l.at() - since > SPAN
                && l.is("further")
                && further > part * first + FEW) {
            List<History.Line> story = recent.stream().filter(r -> r.is("further")).toList();
            finds.breach(
                    further
                            + " further dispatches over "
                            + first
                            + " first ones within a second, "
                            + part
                            + " of them allowed",
                    story);
        }
    }
}
