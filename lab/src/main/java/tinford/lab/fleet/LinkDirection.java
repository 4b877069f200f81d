package tinford.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One way of a link, with all that is wrong with it now, and when what enters it comes out. Belongs
 * to the loop's thread.
 */
final class LinkDirection {
    private final Random draw;
    private final List<Impairment> wrong = new ArrayList<>();
    private Impairment now = Impairment.NONE;
    private double freeAt;

    LinkDirection(Random draw) {
        this.draw = draw;
    }

    Impairment now() {
        return now;
    }

    void add(Impairment i) {
        wrong.add(i);
        fold();
    }

    void remove(Impairment i) {
        wrong.remove(i);
        fold();
    }

    private void fold() {
        now = wrong.stream().reduce(Impairment.NONE, Impairment::and);
    }

    boolean happens(double share) {
        return share > 0 && draw.nextDouble() < share;
    }

    /** When so many bytes that enter at {@code at} are through. */
    double through(double at, int bytes) {
        double leaves = at;
        if (now.rate() > 0) {
            freeAt = Math.max(freeAt, at) + bytes / now.rate();
            leaves = freeAt;
        }
        return leaves + now.delay() + (now.jitter() > 0 ? draw.nextDouble() * now.jitter() : 0);
    }
}
