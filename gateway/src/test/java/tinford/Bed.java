package tinford;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import tinford.api.*;

/** A gateway with its decisions written down as text, one line each; time moves only when told. */
public final class Bed implements Writer {
    /** Hears everything and does nothing. */
    public static class Deaf implements Inbox {
        @Override
        public void started() {}

        @Override
        public void takesOver() {}

        @Override
        public void leaves() {}

        @Override
        public void listed(List<Srv> entries, boolean whole) {}

        @Override
        public void listRefused() {}

        @Override
        public void arrived(Req req) {}

        @Override
        public void began(Req req, int hop) {}

        @Override
        public void ended(
                Req req,
                int hop,
                End how,
                double took,
                boolean closed,
                int seenUse,
                double settled,
                double[] load) {}

        @Override
        public void left(Req req) {}

        @Override
        public void alarm(long token) {}

        @Override
        public void probed(Srv srv, End how, double took, double[] load) {}

        @Override
        public void heard(int peer, String text) {}

        @Override
        public void counted(long name, End how, double took, double total) {}

        @Override
        public void countedLate(long name, double total) {}
    }

    static final Rules RULES = new Rules(0.3, 10_000, 2, 1000);
    final List<String> said = new ArrayList<>();
    final Map<String, Srv> servers = new HashMap<>();
    final Decide gateway;
    double now = 100_000;
    double cap;
    double within;
    private long ids;

    Bed(Limits limits, boolean counter, boolean mustAsk) {
        this(limits, counter, mustAsk, 2);
    }

    Bed(Limits limits, boolean counter, boolean mustAsk, int gateways) {
        gateway =
                new Decide(
                        7,
                        new Place(0, gateways, "a", 1),
                        limits,
                        RULES,
                        new CounterTerms(counter, 50, 6, true),
                        new Goal(0.7, 0.3),
                        mustAsk);
        play(Inbox::started);
    }

    Bed() {
        this(limits(false), true, false);
        list("s1", "s2", "s3");
    }

    static Limits limits(boolean duplicate) {
        return new Limits(3, duplicate, true, true, true, 1000);
    }

    static Plan plan(double beyondValue, double beyondCost, int maxOut, double ceiling) {
        return new Plan(
                "p", 0.002, 10, maxOut, 1, beyondValue, beyondCost, ceiling / 1000, 5 * ceiling, 1);
    }

    static Frontend frontend(Effect effect, Group group) {
        return new Frontend("f", 2000, 8000, 1, 0, effect, group, 3000, false);
    }

    static Customer customer(Plan plan) {
        return new Customer(5, plan, 2, 0);
    }

    List<String> play(Consumer<Inbox> input) {
        said.clear();
        gateway.round(now, input::accept, this);
        return said;
    }

    /** Lets time pass with the gateway's timer running. */
    List<String> pass(double ms) {
        List<String> all = new ArrayList<>();
        for (double end = now + ms; now < end; ) {
            now = Math.min(end, now + 50);
            all.addAll(play(in -> in.alarm(1)));
        }
        return all;
    }

    void list(String... ids) {
        List<Srv> entries = new ArrayList<>();
        for (String id : ids) entries.add(srv(id));
        play(in -> in.listed(entries, true));
    }

    Srv srv(String id) {
        return servers.computeIfAbsent(
                id,
                k -> {
                    Srv s = new Srv(k);
                    s.zone = k.startsWith("z") ? "b" : "a";
                    s.cell = k.startsWith("s1") ? 1 : 2;
                    s.state = Srv.State.UP;
                    return s;
                });
    }

    Req req(Customer c, Frontend f, double units) {
        return new Req(ids++, f, c, now + f.timeout, units, false);
    }

    /**
     * Brings a req and answers its calls to the counter with the given totals: of the window
     * before, of this one.
     */
    List<String> ask(Req req, double before, double total) {
        List<String> all = new ArrayList<>(play(in -> in.arrived(req)));
        for (List<String> calls = all; count(calls, "add ") > 0; all.addAll(calls))
            calls = answers(calls, before, total);
        return all;
    }

    /**
     * Answers calls with totals; taking back and reading the window before are told by the amount.
     */
    List<String> answers(List<String> calls, double before, double total) {
        List<String> asked = new ArrayList<>(calls);
        return new ArrayList<>(
                play(
                        in -> {
                            for (String s : asked) {
                                if (!s.startsWith("add ")) continue;
                                String[] w = s.split(" ");
                                boolean reads = Double.parseDouble(w[2]) == 0;
                                in.counted(
                                        Long.parseLong(w[1]), End.GOOD, 1, reads ? before : total);
                            }
                        }));
    }

    /** Ends each call of the last round on the counter this way. */
    List<String> counterEnds(End how) {
        List<String> asked = new ArrayList<>(said);
        return play(
                in -> {
                    for (String s : asked) {
                        if (s.startsWith("add "))
                            in.counted(Long.parseLong(s.split(" ")[1]), how, 50, 0);
                    }
                });
    }

    List<String> ends(Req req, int hop, End how, boolean closed) {
        return play(in -> in.ended(req, hop, how, 100, closed, 0, 0, null));
    }

    /** How many customers, servers and calls the gateway keeps notes of. */
    int kept() {
        try {
            return size("quotas", "books") + size("quotas", "calls") + size("fleet", "nodes");
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    /** How many plans the gateway keeps notes of. */
    int plansKept() {
        try {
            var tallies = Decide.class.getDeclaredField("tallies");
            tallies.setAccessible(true);
            return ((Map<?, ?>) tallies.get(gateway)).size();
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    private int size(String part, String field) throws ReflectiveOperationException {
        var of = Decide.class.getDeclaredField(part);
        of.setAccessible(true);
        var in = of.getType().getDeclaredField(field);
        in.setAccessible(true);
        Object all = in.get(of.get(gateway));
        return all instanceof Map<?, ?> m ? m.size() : ((Collection<?>) all).size();
    }

    static long count(List<String> said, String start) {
        return said.stream().filter(s -> s.startsWith(start)).count();
    }

    @Override
    public void dispatch(Req req, Srv srv, double cap, double within) {
        this.cap = cap;
        this.within = within;
        said.add("dispatch " + req.id + " " + srv.id);
    }

    @Override
    public void cancel(Req req, int hop) {
        said.add("cancel " + req.id + " " + hop);
    }

    @Override
    public void deny(Req req, double retryAfter) {
        said.add("deny " + req.id + " " + Math.round(retryAfter));
    }

    @Override
    public void abort(Req req) {
        said.add("abort " + req.id);
    }

    @Override
    public void alarm(long token, double wait) {
        said.add("alarm");
    }

    @Override
    public void probe(Srv srv) {
        said.add("probe");
    }

    @Override
    public void closeIdle(Srv srv) {
        said.add("close");
    }

    @Override
    public void tell(int peer, String text) {
        said.add("tell " + peer + " " + text);
    }

    @Override
    public void add(long name, double amount, double keep) {
        said.add("add " + name + " " + amount);
    }

    @Override
    public void watch(boolean on) {
        said.add("watch " + on);
    }

    @Override
    public void fetchList() {
        said.add("fetch");
    }

    @Override
    public void log(String text) {
        said.add("log");
    }
}
