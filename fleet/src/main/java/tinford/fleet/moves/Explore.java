package tinford.fleet.moves;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import tinford.fleet.members.Incarnation;
import tinford.fleet.members.Lease;

/**
 * Goes through everything that can happen to one plan at small size, breadth-first: entries in any
 * order, late, lost or by a wrong leader, kills, restarts with and without a disk, ended leases,
 * halts, clocks that differ. Runs the real {@link Moves} and {@link Route}. Holds every state that
 * it found; its memory is bounded by {@code most} states.
 */
public final class Explore {
    /** What is explored: how many faults, and what is broken on purpose, if anything. */
    static final class Case {
        TransitionRules rules = new TransitionRules();
        BiFunction<Incarnation, MoveStatus, Route> route =
                (incarnation, status) -> new Route(incarnation, status, 1);
        double apart = 1;
        double apartCounted = 1;
        boolean countsFromAnswer;
        boolean grantFirst;
        boolean told;

        /** Of the frontend that is needed; the one that needs it has one more. */
        int stages = 1;

        boolean needs = true;
        boolean flights;
        boolean progress;
        int gateways = 3;
        int kills = 1; // or cut off
        int halts = 1;
        int most = 20_000_000;
    }

    /** What came of it: states, and the shortest story of a broken promise, or null. */
    record Found(int states, int edges, int ends, List<String> story, String broken) {}

    private static final double LENGTH = 2;
    private static final double WINDOW = 2;
    private static final double GONE = -1e9;
    private static final Map<String, String> HOMES = Map.of("needed", "a", "needing", "a");

    /** Something in the log that a gateway sees when it comes to it: a status, or its own grant. */
    private record Seen(MoveStatus status, double until) {}

    private record Old(Incarnation incarnation, double until) {}

    /** One world. Copied for each thing that may happen next. */
    private final class World implements LeaseHolders {
        double now = 10;
        Moves head;
        final boolean[] up = new boolean[c.gateways];
        final boolean[] cut = new boolean[c.gateways]; // what it asks for doesn't get to the log
        final int[] start = new int[c.gateways];
        final MoveStatus[] view = new MoveStatus[c.gateways];
        final double[] seen = new double[c.gateways];
        final double[] granted = new double[c.gateways];
        final double[] flight = new double[c.gateways];
        final List<List<Seen>> queue = new ArrayList<>();
        final List<List<Old>> old = new ArrayList<>();
        int key = -1;
        double ran;
        int kills;
        String broken;
        private double
                wait; // the longest that may be due at this position: acks that are older are alike

        World() {
            head = new Moves(HOMES, this, c.apart, c.rules);
            head.apply(1, Entry.begin("o", now, plan()).bytes());
            for (int g = 0; g < c.gateways; g++) {
                up[g] = true;
                view[g] = head.status();
                seen[g] = granted[g] = own(g) + LENGTH;
                flight[g] = GONE;
                queue.add(new ArrayList<>());
                old.add(new ArrayList<>());
            }
        }

        World(World w) {
            now = w.now;
            head = w.head.copy(this);
            for (int g = 0; g < c.gateways; g++) {
                up[g] = w.up[g];
                cut[g] = w.cut[g];
                start[g] = w.start[g];
                view[g] = w.view[g];
                seen[g] = w.seen[g];
                granted[g] = w.granted[g];
                flight[g] = w.flight[g];
                queue.add(new ArrayList<>(w.queue.get(g)));
                old.add(new ArrayList<>(w.old.get(g)));
            }
            key = w.key;
            ran = w.ran;
            kills = w.kills;
        }

        private Plan plan() {
            return new Plan(
                    "p",
                    0,
                    0.1,
                    1,
                    List.of(
                            new Plan.Mover(
                                    "needing",
                                    "a",
                                    "b",
                                    c.needs ? List.of("needed") : List.of(),
                                    0,
                                    List.of(1.0),
                                    1,
                                    1,
                                    true,
                                    c.told,
                                    WINDOW),
                            new Plan.Mover(
                                    "needed",
                                    "a",
                                    "b",
                                    List.of(),
                                    0,
                                    c.stages == 2 ? List.of(0.5, 1.0) : List.of(1.0),
                                    1,
                                    1,
                                    false,
                                    false,
                                    0)),
                    Map.of("b", new Plan.Room(2, 2, 0.5)));
        }

        double own(int g) {
            return g == 0 ? now - c.apart : now;
        }

        Incarnation incarnation(int g) {
            return new Incarnation(g, start[g]);
        }

        @Override
        public Collection<Incarnation> mayHaveActed(double since) {
            List<Incarnation> found = new ArrayList<>();
            for (int g = 0; g < c.gateways; g++) {
                if (!new Lease(incarnation(g), granted[g], 0).surelyOver(since, c.apartCounted)) {
                    found.add(incarnation(g));
                }
                for (Old o : old.get(g)) {
                    if (!new Lease(o.incarnation, o.until, 0).surelyOver(since, c.apartCounted)) {
                        found.add(o.incarnation);
                    }
                }
            }
            return found;
        }

        Route route(int g) {
            Route r = c.route.apply(incarnation(g), view[g]);
            r.see(view[g], new Lease(incarnation(g), seen[g], 0), false);
            return r;
        }

        /**
         * One request at a time; without other entries ahead of it the grant is seen at once, as
         * later it would only be shorter.
         */
        void renew(int g) {
            if (queue.get(g).stream().allMatch(q -> q.status != null)) {
                granted[g] = own(g) + LENGTH;
                if (queue.get(g).isEmpty() && !c.countsFromAnswer) {
                    seen[g] = granted[g];
                } else {
                    queue.get(g).add(new Seen(null, granted[g]));
                }
            }
        }

        /**
         * Applies an entry, lets the gateways have it coming, and looks at what became of the
         * position.
         */
        void entry(Entry e) {
            MoveStatus was = head.status();
            long halts = head.halts();
            head.apply(1, e.bytes());
            MoveStatus is = head.status();
            if (is.turn() != was.turn() || is.position() != was.position()) {
                int by = is.position() - was.position();
                if (Math.abs(by) != 1) {
                    broken = "from step " + was.position() + " to " + is.position();
                } else if (was.back() && by > 0) {
                    broken = "goes back, but forward from " + was.position();
                } else if (was.state() == Moves.State.HALTED) {
                    broken = "moves while halted";
                }
                for (int g = 0; g < c.gateways; g++) {
                    queue.get(g).add(new Seen(is, 0));
                }
            } else if (e.kind() == Entry.Kind.RESUME
                    && e.turn() != halts
                    && was.state() != is.state()) {
                broken = "a later halt is lifted by a resume that was meant for an earlier one";
            }
        }

        /** Brings to one form what can make no difference. */
        void tidy() {
            for (int g = 0; g < c.gateways; g++) {
                List<Seen> q = queue.get(g);
                boolean acts = own(g) < seen[g];
                for (int i = q.size() - 2; i >= 0 && !acts; i--) {
                    if (q.get(i).status != null && q.get(i + 1).status != null) {
                        q.remove(i); // it acts on neither: it may as well come to the later one at
                        // once
                    }
                }
                if (q.size() == 1 && q.get(0).status != null && !acts && !up[g]) {
                    q.clear(); // a restart begins its own queue
                }
                if (flight[g] != GONE && view[g].turn() != head.status().turn()) {
                    flight[g] = c.rules.counts(1, 0) ? flight[g] : GONE;
                }
                old.get(g).removeIf(o -> now - WINDOW >= o.until + c.apart);
            }
            if (key >= 0 && now - ran >= WINDOW) {
                key = -1;
            }
        }

        void check() {
            if (broken != null) {
                return;
            }
            boolean some = false;
            boolean lacks = false;
            int least = 99;
            int most = -1;
            for (int g = 0; g < c.gateways; g++) {
                Route r = route(g);
                if (up[g] && r.mayAct(own(g))) {
                    least = Math.min(least, view[g].position());
                    most = Math.max(most, view[g].position());
                    some |= r.mayGo("needing", 1, false, "b", null, own(g));
                    lacks |= r.mayGo("needed", upper, false, "a", null, own(g));
                }
            }
            if (most - least > 1) {
                broken = "two living gateways at steps " + least + " and " + most;
            } else if (some && lacks) {
                broken =
                        "one is sent to its new group, what it needs still to the old one"
                                + " elsewhere";
            }
        }

        String form() {
            if (c.gateways == 2) {
                return form(0, 1);
            }
            String one = form(0, 1, 2);
            String two = form(0, 2, 1);
            return one.compareTo(two) < 0 ? one : two;
        }

        private String form(int... order) {
            StringBuilder s = new StringBuilder(64);
            MoveStatus is = head.status();
            s.append((char) ('A' + is.state().ordinal()))
                    .append(is.back() ? '-' : '+')
                    .append((char) is.position())
                    .append((char) (1 + head.before()))
                    .append((char) head.halts())
                    .append((char) kills);
            wait = c.rules.waits(is.plan(), is.position(), true);
            wait = Math.max(wait, is.back() ? 0 : c.rules.waits(is.plan(), is.position(), false));
            s.append((char) (1 + key)).append((char) (key < 0 ? 0 : now - ran));
            for (int g : order) {
                s.append(!up[g] ? 'd' : cut[g] ? 'c' : 'u')
                        .append((char) view[g].position())
                        .append(view[g].turn() == is.turn() ? '=' : '<');
                time(s, seen[g] - own(g), 0, 9);
                time(s, granted[g] - now, -WINDOW - c.apart, 9);
                time(s, flight[g] == GONE ? -9 : flight[g] - now, -5, 0);
                ack(s, incarnation(g));
                for (Seen q : queue.get(g)) {
                    if (q.status == null) {
                        time(s.append('g'), q.until - own(g), 0, 9);
                    } else {
                        s.append('p').append((char) q.status.position());
                    }
                }
                for (Old o : old.get(g)) {
                    time(s.append('o'), o.until - now, -WINDOW - c.apart, 9);
                    ack(s, o.incarnation);
                }
                s.append('|');
            }
            return s.toString();
        }

        private void ack(StringBuilder s, Incarnation incarnation) {
            Double at = head.acks().get(incarnation);
            time(s, at == null ? 8 : at - now, -wait, 8);
        }

        private void time(StringBuilder s, double t, double least, double most) {
            s.append((char) (20 + Math.max(least, Math.min(most, t))));
        }
    }

    private final Case c;
    private final long upper;
    private final Map<String, Integer> known = new HashMap<>();
    private final ArrayDeque<World> open = new ArrayDeque<>();
    private int[] parents = new int[1 << 10];
    private String[] steps = new String[1 << 10];
    private int[] from = new int[1 << 12];
    private int[] to = new int[1 << 12];
    private int edges;
    private final List<Integer> ends = new ArrayList<>();
    private int at;
    private List<String> story;
    private String broken;

    Explore(Case c) {
        this.c = c;
        long customer = 1;
        while (Route.part(customer, "needed".hashCode()) < 0.5) {
            customer++;
        }
        upper = customer;
    }

    Found run() {
        at = -1;
        next(new World(), "begun", false);
        for (at = 0; !open.isEmpty() && broken == null && known.size() < c.most; at++) {
            expand(open.poll());
            if (c.progress && at % 100_000 == 0) {
                System.out.println(at + " of " + known.size());
            }
        }
        if (broken == null && open.isEmpty()) {
            stuck();
        }
        return new Found(known.size(), edges, ends.size(), story, broken);
    }

    private void next(World w, String step, boolean good) {
        w.tidy();
        w.check();
        String form = w.form();
        Integer is = known.get(form);
        if (is == null) {
            is = known.size();
            known.put(form, is);
            if (is == parents.length) {
                parents = Arrays.copyOf(parents, 2 * is);
                steps = Arrays.copyOf(steps, 2 * is);
            }
            parents[is] = at;
            steps[is] = step;
            open.add(w);
            Moves.State state = w.head.state;
            if (state == Moves.State.DONE || state == Moves.State.UNDONE) {
                ends.add(is);
            }
        }
        if (good && is != at) {
            if (edges == from.length) {
                from = Arrays.copyOf(from, 2 * edges);
                to = Arrays.copyOf(to, 2 * edges);
            }
            from[edges] = at;
            to[edges++] = is;
        }
        if (w.broken != null && broken == null) {
            broken = w.broken;
            tell(at, step);
        }
    }

    private void tell(int of, String last) {
        story = new ArrayList<>();
        if (last != null) {
            story.add(last);
        }
        for (int s = of; s >= 0; s = parents[s]) {
            story.add(steps[s]);
        }
        Collections.reverse(story);
    }

    private void expand(World w) {
        World n = new World(w);
        n.now++;
        for (int g = 0; g < c.gateways; g++) {
            if (n.up[g] && !n.cut[g] && n.granted[g] != GONE) {
                n.renew(g);
            }
        }
        next(n, "a tick", true);
        for (int g = 0; g < c.gateways; g++) {
            if (w.up[g]) {
                gateway(w, g);
            }
            faults(w, g);
        }
        MoveStatus s = w.head.status();
        for (int to = s.position() - 2; to <= s.position() + 2; to++) {
            offer(w, Entry.go(w.now, s.turn(), to, 2), "a leader: to step " + to, true);
        }
        offer(
                w,
                Entry.go(w.now, s.turn() - 1, s.position() + 1, 2),
                "a stale leader: to step " + (s.position() + 1),
                true);
        offer(w, Entry.resume("o", w.now, w.head.halts()), "resume", true);
        offer(w, Entry.resume("o", w.now, w.head.halts() - 1), "resume of an earlier halt", false);
        if (w.head.halts() < c.halts) {
            offer(w, Entry.halt("o", w.now), "halt", false);
        }
        offer(w, Entry.back("o", w.now), "back", false);
        offer(
                w,
                Entry.report(w.incarnation(0), s.turn(), w.own(0), 1, 0, 9, 9, 1, 0, 0, 0),
                "gateway 0: bad",
                false);
    }

    /**
     * Entries that alter nothing are no step of a story. A report alters something only when it
     * turns the moves back.
     */
    private void offer(World w, Entry e, String step, boolean good) {
        World n = new World(w);
        n.entry(e);
        MoveStatus a = w.head.status();
        MoveStatus b = n.head.status();
        if (a.state() != b.state()
                || a.turn() != b.turn()
                || a.position() != b.position()
                || a.back() != b.back()) {
            next(n, step, good);
        }
    }

    private void gateway(World w, int g) {
        if (!w.queue.get(g).isEmpty()) {
            World n = new World(w);
            List<Seen> q = n.queue.get(g);
            int first = 0;
            for (int i = 0; c.grantFirst && i < q.size(); i++) {
                first = q.get(i).status == null ? i : first;
            }
            Seen s = q.remove(first);
            if (s.status != null) {
                n.view[g] = s.status;
                n.flight[g] = GONE;
            } else {
                n.seen[g] = c.countsFromAnswer ? n.own(g) + LENGTH : s.until;
            }
            next(
                    n,
                    "gateway "
                            + g
                            + (s.status != null
                                    ? " sees step " + s.status.position()
                                    : " sees its lease"),
                    true);
        }
        Route r = w.route(g);
        boolean acts = r.mayAct(w.own(g));
        if (acts
                && !w.cut[g]
                && w.own(g) < w.seen[g]
                && !w.head.acked(w.incarnation(g))
                && (!c.flights || w.flight[g] == GONE)) {
            World n = new World(w);
            if (c.flights) {
                n.flight[g] = n.own(g);
            } else {
                n.entry(Entry.ack(n.incarnation(g), n.view[g].turn(), n.own(g)));
            }
            next(n, "gateway " + g + " acks step " + w.view[g].position(), true);
        }
        if (w.flight[g] != GONE) {
            World n = new World(w);
            n.entry(Entry.ack(n.incarnation(g), n.view[g].turn(), n.flight[g]));
            n.flight[g] = GONE;
            next(n, "the ack of gateway " + g + " is in the log", true);
        }
        if (w.granted[g] == GONE && !w.cut[g]) {
            World n = new World(w);
            n.renew(g);
            next(n, "gateway " + g + " is granted its first lease", true);
        }
        if (w.cut[g]) {
            World n = new World(w);
            n.cut[g] = false;
            n.renew(g);
            next(n, "gateway " + g + " is heard again", true);
        }
        boolean again = w.key >= 0;
        for (int to = 0;
                acts && to < 2 && w.view[g].position() >= c.stages;
                to++) { // before, all go to the old group
            if (r.mayGo("needing", 1, c.told && again, to == 0 ? "a" : "b", null, w.own(g))) {
                World n = new World(w);
                String step =
                        "gateway "
                                + g
                                + " sends the "
                                + (again ? "retry" : "req")
                                + " to "
                                + (to == 0 ? "a" : "b");
                if (again && w.key != to) {
                    n.broken = "it may have run at both groups";
                }
                n.key = to;
                n.ran =
                        again
                                ? w.ran
                                : n.now; // a repeat within the window does not run, and does not
                // lengthen it
                next(n, step, false);
            }
        }
    }

    private void faults(World w, int g) {
        if (w.up[g] && w.kills < c.kills) {
            World n = new World(w);
            n.up[g] = false;
            n.kills++;
            n.flight[g] = GONE;
            n.cut[g] = false;
            next(n, "gateway " + g + " is killed", false);
            if (!w.cut[g]) {
                n = new World(w);
                n.cut[g] = true;
                n.kills++;
                next(n, "gateway " + g + " is cut off", false);
            }
        }
        for (int disk = 0; !w.up[g] && disk < 2; disk++) {
            World n = new World(w);
            n.up[g] = true;
            n.old.get(g).add(new Old(n.incarnation(g), n.granted[g]));
            n.start[g]++;
            n.granted[g] = GONE;
            n.seen[g] = GONE;
            n.view[g] = disk == 1 ? n.view[g] : new Moves(HOMES, n, c.apart, c.rules).status();
            n.queue.get(g).clear();
            n.queue.get(g).add(new Seen(n.head.status(), 0));
            next(
                    n,
                    "gateway " + g + " restarts with" + (disk == 1 ? "" : "out") + " its disk",
                    false);
        }
    }

    /**
     * From every state an end must be within reach by what happens without faults and without a
     * restart of who is down.
     */
    private void stuck() {
        int n = known.size();
        int[] first = new int[n + 1];
        for (int e = 0; e < edges; e++) {
            first[to[e] + 1]++;
        }
        for (int i = 0; i < n; i++) {
            first[i + 1] += first[i];
        }
        int[] fill = first.clone();
        int[] sources = new int[edges];
        for (int e = 0; e < edges; e++) {
            sources[fill[to[e]]++] = from[e];
        }
        boolean[] good = new boolean[n];
        ArrayDeque<Integer> todo = new ArrayDeque<>(ends);
        ends.forEach(i -> good[i] = true);
        while (!todo.isEmpty()) {
            int i = todo.poll();
            for (int e = first[i]; e < first[i + 1]; e++) {
                if (!good[sources[e]]) {
                    good[sources[e]] = true;
                    todo.add(sources[e]);
                }
            }
        }
        for (int i = 0; i < n; i++) {
            if (!good[i]) {
                broken = "stuck: no end is within reach";
                tell(i, null);
                return;
            }
        }
    }

    /** The larger form: more faults, acks under way for any time. */
    public static void main(String[] args) {
        for (boolean told : new boolean[] {false, true}) {
            Case c = new Case();
            c.told = told;
            c.progress = true;
            c.gateways = args.length > 4 ? Integer.parseInt(args[4]) : 3;
            c.stages = args.length > 3 ? Integer.parseInt(args[3]) : 2;
            c.kills = args.length > 0 ? Integer.parseInt(args[0]) : 2;
            c.halts = args.length > 1 ? Integer.parseInt(args[1]) : 2;
            c.flights = args.length > 2 && Boolean.parseBoolean(args[2]);
            long start = System.nanoTime();
            Found f = new Explore(c).run();
            System.out.printf(
                    "retries %s, kills %d, halts %d, acks under way %b: %d states, %d edges, %d"
                            + " ends, %.1f s: %s%n",
                    told ? "told" : "untold",
                    c.kills,
                    c.halts,
                    c.flights,
                    f.states(),
                    f.edges(),
                    f.ends(),
                    (System.nanoTime() - start) / 1e9,
                    f.broken() == null ? "no promise broken" : f.broken() + " " + f.story());
        }
    }
}
