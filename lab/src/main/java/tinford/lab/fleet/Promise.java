package tinford.lab.fleet;

import java.util.List;

/** One promise, held against the histories line by line, in the order of time. */
public interface Promise {
    /** Who finds a breach says so here, with the lines that tell it in the shortest way. */
    interface Finds {
        void breach(String what, List<History.Line> story);
    }

    void see(History.Line l, IncarnationTracker incarnations, Finds finds);
}
