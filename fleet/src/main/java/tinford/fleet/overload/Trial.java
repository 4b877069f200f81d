package tinford.fleet.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeSet;
import tinford.api.Customer;
import tinford.api.Effect;
import tinford.api.End;
import tinford.api.Frontend;
import tinford.api.Group;
import tinford.api.Plan;
import tinford.api.Req;
import tinford.api.Srv;
import tinford.api.View;
import tinford.fleet.members.GossipRecord;
import tinford.fleet.members.Incarnation;
import tinford.fleet.members.Membership;

/**
 * A simulated strain in virtual time: half of the servers are lost for {@link #LOST_MS}, clients of
 * what is denied or fails come back. The gateways here are simpler than the decisions (learned
 * limit, line by worth, servers put aside), and what is compared is the view alone.
 */
public final class Trial {
    /**
     * Alone: no view. Gossip: records of 100 to 500 ms of age, one in ten lost. Cut: none heard.
     */
    public enum Mode {
        ALONE,
        GOSSIP,
        CUT
    }

    /**
     * @param worth passed over worth asked first, while strained; @param best what one that sees
     *     all could pass at most;
     * @param apart deviation between gateways of what worthy requests lose
     */
    public record Result(
            double worth,
            double best,
            double dispatches,
            double tries,
            double apart,
            double recovery,
            double wholeWorth) {}

    private static final int SERVERS = 20;
    private static final double STEP = 10,
            SERVES = 0.15,
            TARGET = 500,
            STARTS = 8000,
            LOST_MS = 10_000,
            ENDS = 32_000,
            BASE = 30;
    private static final double[] VALUES = {0.5, 1, 2, 4, 8};
    private static final double SKEW =
            0.6; // gateways' traffic: the last gets (1+SKEW)/(1-SKEW) times that of the first

    private final Random chance;
    private final Mode mode;
    private final double window;
    private final List<Server> servers = new ArrayList<>();
    private final List<Gate> gates = new ArrayList<>();
    private final PriorityQueue<Due> dues =
            new PriorityQueue<>(
                    Comparator.comparingDouble((Due d) -> d.at).thenComparingLong(d -> d.no));
    private double now;
    private long made;
    private double asked, worth, allAsked, allWorth, first, sent, tries;
    private final double[] passedBy = new double[(int) (ENDS / 500)],
            askedBy = new double[passedBy.length];

    private final double[] units = new double[VALUES.length];

    private record Due(double at, long no, Runnable what) {}

    private static final class Server {
        final Srv srv;
        double freeAt;
        boolean lost;

        Server(int i) {
            srv = new Srv("srv-" + i);
        }
    }

    private final class Job {
        final Req request;
        final double worth;
        final int round;
        final boolean counts;
        double askedAt = now;
        boolean further;
        int hops;

        Job(Req request, double worth, int round, boolean counts) {
            this.request = request;
            this.worth = worth;
            this.round = round;
            this.counts = counts;
        }
    }

    /** What one gateway knows of one server. */
    private static final class Node {
        int out, failed;
        double barredUntil;
        boolean ill;
    }

    private final class Gate implements Membership {
        final int number;
        final Overload overload;
        final View view;
        final Map<Integer, GossipRecord> heard = new LinkedHashMap<>();
        final Map<Server, Node> nodes = new LinkedHashMap<>();
        final TreeSet<Job> line =
                new TreeSet<>(
                        (a, b) ->
                                a.worth == b.worth
                                        ? Long.compare(a.request.id, b.request.id)
                                        : Double.compare(b.worth, a.worth));
        double limit, mean = 60, spare, worthyAsked, worthyPassed;
        int out;
        private List<GossipRecord> fresh;
        private double freshAt = -1;

        Gate(int number, int gateways) {
            this.number = number;
            overload =
                    new Overload(
                            0,
                            new Incarnation(number, 1),
                            window,
                            0.1,
                            new Random(chance.nextLong()));
            view = mode == Mode.GOSSIP || mode == Mode.CUT ? overload : new View();
            for (Server s : servers) nodes.put(s, new Node());
            limit = 5.0 * SERVERS / gateways;
        }

        void step(int seq) {
            if (view == overload) {
                overload.round(now, this);
                if (seq % 10 == 0) {
                    GossipRecord s = overload.record(seq);
                    heard.put(number, s);
                    if (mode == Mode.GOSSIP) tell(s);
                }
            }
            if (seq % 20 == 0) {
                double floor = 2.5 * SERVERS / gates.size();
                if (mean > 0.4 * TARGET) limit = Math.max(floor, limit * 0.9);
                else if (out >= 0.7 * limit) limit = limit * 1.01 + floor / 50;
            }
            for (Job j : new ArrayList<>(line)) {
                if (now - j.askedAt > reach()) {
                    line.remove(j);
                    deny(j);
                } else if (full() || !send(j)) {
                    if (full()) continue;
                } else line.remove(j);
            }
        }

        boolean full() {
            return out >= Math.max(1, limit + Math.sqrt(limit));
        }

        /** Waiting longer than this it would be late. */
        double reach() {
            return TARGET - Math.max(0.1 * TARGET, 1.6 * mean);
        }

        /**
         * Each record gets to a few at once and to all within half a second; one in ten is lost.
         */
        private void tell(GossipRecord s) {
            for (Gate g : gates) {
                if (g == this
                        || chance.nextDouble() < 0.1
                        || gates.size() > 60 && chance.nextDouble() > 60.0 / gates.size()) continue;
                later(
                        100 + 400 * chance.nextDouble(),
                        () -> {
                            if (s.newer(g.heard.get(number))) g.heard.put(number, s);
                        });
            }
        }

        void arrive(Job j) {
            view.asked(j.request, j.worth);
            double part = view.part(j.worth);
            if (part < 1 && chance.nextDouble() >= part) deny(j);
            else if (full() || !send(j)) line.add(j);
        }

        boolean send(Job j) {
            Server best = null;
            int alike = 1;
            for (Map.Entry<Server, Node> e : nodes.entrySet()) {
                Node n = e.getValue();
                if (now < n.barredUntil || n.ill && n.out > 0 || !view.looksAfter(e.getKey().srv))
                    continue;
                if (best != null && n.out > nodes.get(best).out) continue;
                alike = best != null && n.out == nodes.get(best).out ? alike + 1 : 1;
                if (chance.nextInt(alike) == 0) best = e.getKey();
            }
            if (best == null) return false;
            Server s = best;
            nodes.get(s).out++;
            out++;
            view.sent(j.request, s.srv, j.worth, j.hops > 0);
            boolean strained = now >= STARTS && now < STARTS + LOST_MS;
            if (!j.further) spare = Math.min(10, spare + 0.1);
            if (strained) {
                sent++;
                if (!j.further) first++;
                if (s.lost && now > STARTS + 3000) tries++;
            }
            j.hops++;
            if (s.lost) later(50, () -> ended(j, s, End.BROKEN, 50));
            else {
                s.freeAt = Math.max(s.freeAt, now) + j.request.units / SERVES;
                double took = Math.min(s.freeAt - now + BASE, 2 * TARGET);
                later(took, () -> ended(j, s, took >= 2 * TARGET ? End.TIMED_OUT : End.GOOD, took));
            }
            return true;
        }

        void ended(Job j, Server s, End how, double took) {
            Node n = nodes.get(s);
            n.out--;
            out--;
            boolean late = now - j.askedAt > TARGET;
            view.ended(j.request, s.srv, how, late);
            if (how == End.BROKEN) {
                n.ill = ++n.failed >= 2;
                if (n.ill) {
                    n.barredUntil = now + 250 * (1 << Math.min(4, n.failed - 2));
                    view.ill(s.srv, true);
                }
                double may = view.further(spare);
                if (may >= 1 && now - j.askedAt < reach() && j.hops < 3) {
                    spare = Math.max(0, spare - 1);
                    j.further = true;
                    if (full() || !send(j)) line.add(j); // nobody else sends it meanwhile
                } else back(j);
                return;
            }
            mean += 0.1 * (took - mean);
            n.failed = 0;
            n.ill = false;
            if (!late) view.ill(s.srv, false);
            if (late) back(j);
            else passed(j);
        }

        void passed(Job j) {
            double w = j.worth * j.request.units;
            if (j.counts && now < STARTS + LOST_MS) worth += w;
            allWorth += w;
            passedBy[Math.min(passedBy.length - 1, (int) (now / 500))] += w;
            if (j.counts && j.worth >= 4) worthyPassed += w;
        }

        void deny(Job j) {
            if (j.hops == 0) view.denied(j.request, j.worth);
            back(j);
        }

        /** Two in three clients come back, through any gateway, three times at most. */
        void back(Job j) {
            if (j.round >= 3 || chance.nextDouble() > 0.67) return;
            Gate g = gates.get(chance.nextInt(gates.size()));
            later(
                    300 + view.spread() * chance.nextDouble(),
                    () -> g.arrive(new Job(j.request, j.worth, j.round + 1, j.counts)));
        }

        @Override
        public int living() {
            return mode == Mode.GOSSIP && now > 500 ? gates.size() : 1;
        }

        @Override
        public boolean lives(int gateway) {
            return true;
        }

        @Override
        public List<Integer> all() {
            return numbers;
        }

        @Override
        public List<GossipRecord> fresh() {
            return freshAt == now ? fresh : refresh();
        }

        private List<GossipRecord> refresh() {
            freshAt = now;
            return fresh = new ArrayList<>(heard.values());
        }

        @Override
        public int size() {
            return gates.size();
        }
    }

    private final List<Integer> numbers = new ArrayList<>();
    private final int gateways;

    public Trial(long seed, int gateways, Mode mode, double window) {
        this.chance = new Random(seed);
        this.gateways = gateways;
        this.mode = mode;
        this.window = window;
    }

    private void later(double ms, Runnable what) {
        dues.add(new Due(now + ms, made++, what));
    }

    /**
     * Load: 0.8 of all servers; which worth comes through which gateway is as uneven as how much.
     */
    public Result run() {
        for (int i = 0; i < SERVERS; i++) servers.add(new Server(i));
        for (int g = 0; g < gateways; g++) {
            gates.add(new Gate(g, gateways));
            numbers.add(g);
        }
        List<Frontend> kinds = new ArrayList<>();
        for (double v : VALUES)
            kinds.add(
                    new Frontend(
                            "f" + v,
                            TARGET,
                            2 * TARGET,
                            v,
                            0,
                            Effect.IDEMPOTENT,
                            Group.ALL,
                            0,
                            false));
        Customer customer = new Customer(1, new Plan("p", 0, 0, 0, 1, 1, 0, 0, 0, 0), 1, 0);
        double rate = 0.8 * SERVERS * SERVES / 2.5; // requests a ms, of 1 to 4 units
        int seq = 0;
        for (now = 0; now < ENDS; now += STEP, seq++) {
            for (int i = 0; i < SERVERS / 2; i++)
                servers.get(2 * i).lost = now >= STARTS && now < STARTS + LOST_MS;
            double until = now;
            while (!dues.isEmpty() && dues.peek().at <= until) dues.poll().what.run();
            for (Gate g : gates) g.step(seq);
            for (int i = (int) (rate * STEP + chance.nextDouble()); i > 0; i--)
                ask(kinds, customer);
        }
        double[] lost =
                gates.stream()
                        .filter(g -> g.worthyAsked > 0)
                        .mapToDouble(g -> g.worthyPassed / g.worthyAsked)
                        .toArray();
        double mean = 0, square = 0;
        for (double l : lost) mean += l / lost.length;
        for (double l : lost) square += (l - mean) * (l - mean) / lost.length;
        return new Result(
                worth / asked,
                best() / asked,
                sent / first,
                tries / (LOST_MS - 3000) * 1000 / (SERVERS / 2),
                Math.sqrt(square),
                recovery(),
                allWorth / allAsked);
    }

    private void ask(List<Frontend> kinds, Customer customer) {
        double place = chance.nextDouble();
        int g = (int) (gateways * (place * (1 - SKEW) + place * place * SKEW));
        // low numbers see more of what is worth most
        int kind = (int) (VALUES.length * Math.pow(chance.nextDouble(), 0.75 + 0.5 * g / gateways));
        Req request =
                new Req(
                        made++,
                        kinds.get(kind),
                        customer,
                        now + 2 * TARGET,
                        1 + chance.nextInt(4),
                        false);
        boolean counts = now >= STARTS + 1000 && now < STARTS + LOST_MS;
        Job j = new Job(request, VALUES[kind], 0, counts);
        double w = j.worth * request.units;
        allAsked += w;
        askedBy[(int) (now / 500)] += w;
        if (counts) asked += w;
        if (counts) units[kind] += request.units;
        if (counts && j.worth >= 4) gates.get(g).worthyAsked += w;
        gates.get(g).arrive(j);
    }

    /**
     * All that the servers that are left can do, filled from the worthiest down, without a delay or
     * an error.
     */
    private double best() {
        double left = SERVES * SERVERS / 2 * (LOST_MS - 1000), best = 0;
        for (int k = VALUES.length - 1; k >= 0; k--) {
            best += VALUES[k] * Math.min(left, units[k]);
            left -= Math.min(left, units[k]);
        }
        return best;
    }

    /** From the servers' return until what passes is as before the loss, for a second. */
    private double recovery() {
        double before = 0, from = STARTS / 500;
        for (int b = 4; b < from; b++) before += passedBy[b] / askedBy[b] / (from - 4);
        int back = (int) ((STARTS + LOST_MS) / 500);
        for (int b = back; b + 1 < passedBy.length; b++) {
            if (passedBy[b] / askedBy[b] > before - 0.03
                    && passedBy[b + 1] / askedBy[b + 1] > before - 0.03) return (b - back) * 500;
        }
        return ENDS - STARTS - LOST_MS;
    }

    /**
     * Prints one table: means over seeds, and half of a 95% interval. Arguments: seeds, then
     * numbers of gateways.
     */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 5;
        int[] sizes =
                args.length > 1
                        ? java.util.Arrays.stream(args)
                                .skip(1)
                                .mapToInt(Integer::parseInt)
                                .toArray()
                        : new int[] {5, 14, 100, 400};
        System.out.println(
                "| gateways | mode | worth while strained | all-seeing "
                        + "| dispatches a req | tries a second at an ill server "
                        + "| apart | as before, ms | worth, whole |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int n : sizes) {
            for (Mode mode : Mode.values()) {
                List<Result> all = new ArrayList<>();
                for (int s = 0; s < seeds; s++) all.add(new Trial(100 + s, n, mode, 4000).run());
                System.out.printf(
                        "| %d | %s | %s | %s | %s | %s | %s | %s | %s |%n",
                        n,
                        mode.name().toLowerCase(),
                        interval(all, Result::worth, 3),
                        interval(all, Result::best, 3),
                        interval(all, Result::dispatches, 3),
                        interval(all, Result::tries, 2),
                        interval(all, Result::apart, 3),
                        interval(all, Result::recovery, 0),
                        interval(all, Result::wholeWorth, 3));
            }
        }
    }

    private static String interval(
            List<Result> all, java.util.function.ToDoubleFunction<Result> of, int digits) {
        double mean = all.stream().mapToDouble(of).average().orElse(0), n = all.size();
        double square =
                all.stream().mapToDouble(of).map(x -> (x - mean) * (x - mean)).sum()
                        / Math.max(1, n - 1);
        return String.format(
                "%." + digits + "f ± %." + digits + "f", mean, 2 * Math.sqrt(square / n));
    }
}
