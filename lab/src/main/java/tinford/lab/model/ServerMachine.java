package tinford.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import tinford.api.AttemptOutcome;

/**
 * A server: some cores, each with one piece of work at a time, and a waiting room; first come,
 * first served. One that has just started is cold and grows to its full speed evenly.
 */
public final class ServerMachine {
    public final String id;
    public final String zone;
    public final int cell;
    final int cores;
    private final EventQueue events;
    private final int room;
    private final double speed;
    private final double coldFrom;
    private final double coldTime;
    private final ArrayDeque<Visit> waiting = new ArrayDeque<>();
    private final Set<Visit> working = new LinkedHashSet<>();
    private double slower = 1;
    private boolean up = true;
    private boolean hangs;

    /** When it last started, or 0 for long ago. */
    public double born;

    double busy; // core time spent, in milliseconds

    /** One piece of work and whoever waits for its end. */
    public static final class Visit {
        final double work;
        final Consumer<AttemptOutcome> then;
        double began;
        boolean over;

        public Visit(double work, Consumer<AttemptOutcome> then) {
            this.work = work;
            this.then = then;
        }
    }

    public ServerMachine(
            EventQueue agenda,
            String id,
            String zone,
            int cell,
            int cores,
            int room,
            double speed,
            double coldFrom,
            double coldTime) {
        this.events = agenda;
        this.id = id;
        this.zone = zone;
        this.cell = cell;
        this.cores = cores;
        this.room = room;
        this.speed = speed;
        this.coldFrom = coldFrom;
        this.coldTime = coldTime;
    }

    public boolean up() {
        return up;
    }

    public boolean hangs() {
        return hangs;
    }

    int inside() {
        return working.size() + waiting.size();
    }

    boolean cold() {
        return born > 0 && events.now() - born < coldTime;
    }

    /** Work of a fresh core that it can do in a millisecond now. */
    double capacity() {
        double age = coldTime <= 0 ? 1 : Math.min(1, (events.now() - born) / coldTime);
        return cores * speed * (born > 0 ? coldFrom + (1 - coldFrom) * age : 1) / slower;
    }

    public void come(Visit v) {
        if (!up) {
            v.then.accept(AttemptOutcome.UNREACHABLE);
        } else if (working.size() < cores) {
            begin(v);
        } else if (waiting.size() < room) {
            waiting.add(v);
        } else {
            v.then.accept(AttemptOutcome.OVERLOADED);
        }
    }

    private void begin(Visit v) {
        working.add(v);
        v.began = events.now();
        double takes = v.work * cores / capacity();
        events.after(takes, () -> done(v));
    }

    private void done(Visit v) {
        if (v.over) {
            return; // it went with the machine
        }
        v.over = true;
        working.remove(v);
        busy += events.now() - v.began;
        if (!hangs) {
            v.then.accept(AttemptOutcome.SUCCESS);
        }
        if (!waiting.isEmpty()) {
            begin(waiting.poll());
        }
    }

    /** Takes back what has not begun. */
    public void withdraw(Visit v) {
        if (waiting.remove(v)) {
            v.over = true;
        }
    }

    public void die() {
        up = false;
        List<Visit> all = new ArrayList<>(working);
        all.addAll(waiting);
        working.clear();
        waiting.clear();
        for (Visit v : all) {
            v.over = true;
            v.then.accept(AttemptOutcome.CONNECTION_LOST);
        }
    }

    public void start() {
        up = true;
        hangs = false;
        born = events.now();
    }

    /**
     * @param times slower than before all troubles, for what begins from now on
     */
    public void slow(double times) {
        slower = times;
    }

    /** Works and gives no answer. */
    public void hang(boolean on) {
        hangs = on;
    }
}
