package tinford.decision;

import java.util.*;
import tinford.api.*;

/**
 * All decisions of one gateway. A front makes one with the settings of the day and calls {@link #handleBatch} once
 * for all that came in at one moment; the feed replays it as calls on {@link GatewayEvents}, decisions go to
 * {@link GatewayActions}. The interface is in tinford.api; times are milliseconds; nothing here knows a front.
 *
 * <p>Main path (docs/design.md): add to the customer's window on the shared counter, read, judge by the
 * weighted two-window estimate and the bound within the window; on silence, the posture of the plan.
 * Beside it stand:
 * <ol>
 * <li>guard: {@link #allowed} holds every rule for every dispatch, {@link #finish} gives every final answer;
 * <li>ceiling: an even slice of the hard ceiling, empty at start, that needs no counter;
 * <li>ranking: servers in an order renewed by a timer, filled from the top to learned limits, then a line;
 * <li>health: a server's share of failures against the median of the fleet;
 * <li>further dispatches: from a budget fed by the value of first ones;
 * <li>counter doubt: known silence, floors under emptied counts, quotas known to be empty.
 * </ol>
 */
public final class DecisionEngine implements DecisionModule, GatewayEvents {
    private static final long TICK = 1, WATCH = 2;
    private static final double TICK_MS = 50; // line and waits are looked at this often; far below any target
    private static final int TICKS_A_RANK = 4; // a new order each 200 ms: some answers a server lie between

    private final GatewayIdentity place;
    private final AttemptLimits limits;
    private final double worstPlan;
    private final boolean mustAsk;
    private final Map<Plan, Tally> tallies = new LinkedHashMap<>();
    private final Random chance;
    private final Fleet fleet;
    private final Quotas quotas;
    private final TreeSet<Job> line = new TreeSet<>(
            (a, b) -> a.worth == b.worth ? Long.compare(a.seq, b.seq) : Double.compare(b.worth, a.worth));
    private final Ring finished = new Ring(), broken = new Ring();
    private long arrivals, ticks;
    private double now, startedAt, spare, meanWorth = 1;
    private double leftAt = Double.POSITIVE_INFINITY; // another process of this gateway takes its reqs since
    private GatewayActions out;
    private FleetPolicy view = new FleetPolicy(); // of a fleet; alone it bounds nothing, and all here is as if it were not

    public DecisionEngine(long seed, GatewayIdentity place, AttemptLimits limits, SlowStartRules rules, CounterSettings counter, Objectives goal,
            boolean mustAsk) {
        this.place = place;
        this.limits = limits;
        this.worstPlan = goal.worstPlanWeight / Math.max(0.01, goal.overallWeight);
        this.mustAsk = mustAsk;
        this.chance = new Random(seed);
        this.fleet = new Fleet(rules);
        this.quotas = new Quotas(counter);
    }

    @Override public void handleBatch(double at, EventBatch feed, GatewayActions writer) {
        now = at;
        out = writer;
        feed.replay(this);
        drainLine();
    }

    @Override public void started() {
        startedAt = now;
        if (mustAsk) out.watchEndpoints(true);
        out.setTimer(TICK, TICK_MS);
    }

    @Override public void fleetPolicyChanged(FleetPolicy fleet) { view = fleet; }

    @Override public void plansChanged(Set<Plan> plans) { tallies.keySet().retainAll(plans); }

    /** No ceiling has filled here while another process drew on it. */
    @Override public void takeoverStarted() { startedAt = now; }

    @Override public void drainingStarted() { leftAt = now; }

    @Override public void discoveryFailed() { if (mustAsk) out.setTimer(WATCH, 10 * TICK_MS); }

    @Override public void endpointsUpdated(List<Server> entries, boolean whole) { fleet.list(entries, whole); }

    @Override public void timerFired(long token) {
        if (token == WATCH) out.watchEndpoints(true);
        if (token != TICK) return;
        out.setTimer(TICK, TICK_MS);
        quotas.hurry();
        if (ticks++ % TICKS_A_RANK == 0) fleet.rank();
        // guards against kept connections that break under the next req: those just used do so least
        if (ticks % 2 == 0 && broken.total(now) > 0.08 * finished.total(now)) fleet.renew();
        if (ticks % 200 == 0) quotas.forget();
        for (Job job : new ArrayList<>(line)) { if (now >= job.reachBy) finish(job, 0); }
    }

    @Override public void requestArrived(Request req) {
        Job job = new Job(req);
        req.notes = job;
        meanWorth += 0.02 * (job.worth - meanWorth); // about the last fifty reqs
        // a client about to give up must not be left to wait for the counter
        if (now >= job.reachBy) finish(job, 0); else quotas.ask(job);
    }

    @Override public void responseStarted(Request req, int no) {
        Job job = (Job) req.notes;
        Hop hop = job.hops.get(no);
        if (job.begun || hop.end != null) return;
        job.begun = hop.begun = true;
        // its server has answered; how long the rest takes is its client's doing
        fleet.learn(hop, AttemptOutcome.SUCCESS, now - hop.at, req.units);
        finished.add(now, 1);
    }

    @Override public void clientDisconnected(Request req) { over((Job) req.notes); }

    @Override public void counterAnswered(long name, AttemptOutcome how, double took, double total) {
        quotas.answer(name, how, took, total);
    }

    @Override public void counterAnsweredLate(long name, double total) { quotas.late(name, total); }

    @Override public void attemptEnded(Request req, int no, AttemptOutcome how, double took, boolean closed, int seenUse,
            double settled, double[] load) {
        Job job = (Job) req.notes;
        Hop hop = job.hops.get(no);
        hop.end = how;
        job.book.open--;
        view.attemptEnded(req, hop.node.srv, how, now > job.targetAt);
        if (!hop.begun) fleet.learn(hop, how, took, settled > 0 ? settled : job.req.units);
        boolean good = how == AttemptOutcome.SUCCESS;
        if (!hop.begun && (good || how == AttemptOutcome.CONNECTION_LOST)) (good ? finished : broken).add(now, 1);
        if (good && settled > 0) quotas.settle(job, settled);
        if (closed) over(job); else if (!job.over && !job.running()) again(job, how);
    }

    private final class Job {
        final Request req;
        final Book book;
        final long seq = arrivals++;
        final double askedAt = now, targetAt, lift;
        final List<Hop> hops = new ArrayList<>(1);
        double reachBy, worth, total; // the last as it was counted
        Win countedIn;
        boolean begun, over, waits, decided, passed; // for the window before only; no more; on silence
        boolean inside; // its quota

        Job(Request req) {
            this.req = req;
            this.book = quotas.book(req.tenant);
            this.lift = book.tally.lift;
            this.worth = req.requestClass.priorityWeight * book.plan.priorityWeight * lift; // for each unit
            this.targetAt = now + req.requestClass.latencyObjectiveMs;
            reach();
        }

        /** Later than this a dispatch would be late, for the target or for the client. */
        void reach() { reachBy = Math.min(targetAt, req.deadlineMs - 2 * TICK_MS) - fleet.typical(req); }

        /** Without what only this gateway lifts: the same in the whole fleet. */
        double base() { return worth / lift; }

        boolean running() { return hops.stream().anyMatch(h -> h.end == null); }

        boolean mayHaveRun() { return hops.stream().anyMatch(h -> h.end == null || h.end.mayHaveRun); }

        double repeatsFor() { // what goes out again is known as a repeat so long, also while it waits
            return hops.stream().filter(h -> h.end == null || h.end.mayHaveRun)
                    .mapToDouble(h -> h.at + req.requestClass.deduplicationWindowMs - place.tickMs - now).min().orElse(1e9);
        }
    }

    private final class Hop {
        final Job job;
        final Node node;
        final double at = now, size;
        AttemptOutcome end;
        boolean late, apart, begun; // past the target; far past what the fleet takes now; its answer flows

        Hop(Job job, Node node) {
            this.job = job;
            this.node = node;
            this.size = fleet.size(job.req.units);
        }
    }

    /** What one plan lately asked inside its quotas, and what of it was sent on. */
    private final class Tally {
        final Ring asked = new Ring(), sent = new Ring();
        double lift = 1;

        double part() { return (sent.total(now) + 1e-9) / (asked.total(now) + 1e-9); }
    }

    /** Guards the cheapest plan against starving in the line: the worst served is lifted by its weight. */
    private void lift() {
        double all = tallies.values().stream().mapToDouble(t -> t.asked.total(now)).sum();
        for (Tally t : tallies.values()) t.lift = 1;
        tallies.values().stream().min((a, b) -> Double.compare(a.part(), b.part())).ifPresent(t ->
                t.lift += worstPlan * Math.min(20, all / (t.asked.total(now) + 1e-9)));
    }

    /** A req within its quota goes to a server, into the line, or is denied when the line would be late. */
    private void admit(Job job) {
        double dry = job.hops.isEmpty() ? job.book.ceilingWait(job.req.units) : 0;
        if (job.hops.isEmpty()) {
            job.book.tally.asked.add(now, job.worth * job.req.units);
            view.requestOffered(job.req, job.base());
            job.inside = true;
            if (fleet.cold.size() == fleet.ranked.size()) fleet.warmed(); // none is warm: each req counts
            // what the whole fleet sheds now is shed wherever it enters, at once; so is what may go nowhere
            double part = view.isRoutable(job.req) ? view.admittedShare(job.base()) : 0;
            if (part < 1 && chance.nextDouble() >= part) { finish(job, 0); return; }
        }
        if (send(job, fleet.pick(job))) return;
        double one = Math.min(Ring.SPAN / finished.total(now), job.req.requestClass.latencyObjectiveMs); // ends as often
        double wait = line.headSet(job).size() * one;
        if (now + wait > job.reachBy || now + dry > job.reachBy) finish(job, wait); else line.add(job);
    }

    /** Nothing more is done for the req; units that were counted but never sent on go back. */
    private void over(Job job) {
        if (job.inside && job.hops.isEmpty() && !job.over) view.requestRejected(job.req, job.base());
        job.over = true;
        line.remove(job);
        if (job.countedIn != null && job.hops.isEmpty()) quotas.takeBack(job);
    }

    private void drainLine() {
        for (Job job : new ArrayList<>(line)) {
            if (send(job, fleet.pick(job))) line.remove(job);
            else if (!fleet.room()) return;
        }
    }

    // what surely never ran goes out again while the target is in reach; what may have run draws on a budget
    // fed by value, so that failures cannot multiply load
    private void again(Job job, AttemptOutcome how) {
        job.reach();
        double costs = how.mayHaveRun ? 1 : 0;
        boolean may = now < job.reachBy && job.hops.size() < limits.maxAttempts
                && view.retryAllowance(spare) >= costs;
        if (may) spare -= costs;
        if (may) admit(job); else finish(job, now < job.targetAt ? 0 : job.req.requestClass.latencyObjectiveMs);
    }

    /** The one place of final answers: a denial where the rules let it promise that a retry is harmless. */
    private void finish(Job job, double wait) {
        over(job);
        Idempotency effect = job.req.requestClass.idempotency;
        boolean harmless = effect == Idempotency.IDEMPOTENT || !job.mayHaveRun()
                || effect == Idempotency.IDEMPOTENCY_KEY && job.req.requestClass.deduplicationScope == DeduplicationScope.ALL;
        wait = Math.max(wait, 2 * TICK_MS);
        if (view.retryAfterJitterMs() > 0) wait += view.retryAfterJitterMs() * chance.nextDouble(); // not all come back together
        if (harmless) out.reject(job.req, wait); else out.fail(job.req);
    }

    /** Every rule on dispatches, asked by every dispatch. */
    private boolean allowed(Job job, Node node) {
        RequestClass f = job.req.requestClass;
        if (job.over || job.begun || now >= job.req.deadlineMs || node.srv.state != Server.State.UP
                || job.hops.size() >= limits.maxAttempts) { return false; }
        Server first = null;
        for (Hop h : job.hops) {
            if (h.end == null && !limits.hedgingAllowed) return false;
            if (h.end == null || h.end.mayHaveRun) first = h.node.srv;
            if (h.end != null && !h.end.mayHaveRun || f.idempotency == Idempotency.IDEMPOTENT) continue;
            Server was = h.node.srv;
            boolean drops = f.deduplicationScope == DeduplicationScope.ALL || f.deduplicationScope == DeduplicationScope.ZONE && was.zone.equals(node.srv.zone)
                    || f.deduplicationScope == DeduplicationScope.CELL && was.cell == node.srv.cell;
            if (f.idempotency == Idempotency.NON_IDEMPOTENT || !drops || job.repeatsFor() <= 0) return false;
        }
        if (job.hops.isEmpty() && !job.book.mayOpen(job.req.units)) return false;
        if (!view.allowsServer(job.req, node.srv, first)) return false;
        if (node.running.size() >= view.connectionLimit(node.srv) || job.book.open >= view.tenantAttemptLimit(job.req.tenant)) {
            view.requestBlocked(job.req);
            return false;
        }
        return !node.cold() || node.tokens >= 1;
    }

    private boolean send(Job job, Node node) {
        if (node == null || !allowed(job, node) || job.req.clientGone()) return false;
        if (job.hops.isEmpty()) {
            if (job.book.plan.hardLimitPerMs > 0) job.book.ceiling -= job.req.units;
            job.book.tally.sent.add(now, job.worth * job.req.units);
            spare = Math.min(spare + 0.1 * job.worth / meanWorth, 10); // a tenth more dispatches, ten at once
        }
        view.attemptSent(job.req, node.srv, job.base(), !job.hops.isEmpty());
        Hop hop = new Hop(job, node);
        double within = job.req.requestClass.idempotency == Idempotency.IDEMPOTENCY_KEY ? job.repeatsFor() : 1e9;
        job.hops.add(hop);
        job.book.open++;
        fleet.sent(hop);
        // guards against reqs that hang wherever they go: what earns nothing keeps no server and no slot
        double cap = job.targetAt - now + 0.25 * job.req.requestClass.latencyObjectiveMs;
        out.sendAttempt(job.req, node.srv, job.req.requestClass.lateWeight > 0 ? 0 : Math.max(cap, TICK_MS), within);
        return true;
    }

    private final class Node {
        final Server srv;
        final Ring answers = new Ring(), late = new Ring(), strain = new Ring();
        final List<Hop> running = new ArrayList<>();
        double first, limit; // own dispatches at once: at first, and as learned
        double usual = -1; // strain when little waits; quick to fall, slow to rise
        int unreached, slots = 1;
        boolean sick;
        // drawn once: guards against all gateways on one top, and each against connections to every server
        final double luck = chance.nextDouble();
        double barredUntil, order, tokens, born, meanStrain = 0.2, rel = 1; // its strain over the fleet's

        Node(Server srv) { this.srv = srv; }

        /** Full, down, no connection left, or failing: asked again ever more rarely, up to 4 s. */
        void bar() { barredUntil = now + 250 * (1 << Math.min(4, unreached++)); }

        /** One that was put aside is tried by the gateway of the fleet that looks after it. */
        boolean tried() {
            return now >= barredUntil && (!sick || running.isEmpty())
                    && (!sick && unreached == 0 || view.ownsProbing(srv));
        }

        double failing() { return late.total(now) / Math.max(4, answers.total(now) + running.size()); }

        /** Against the median: when all are slow, no server is at fault and none is put aside. */
        boolean fails() { return late.total(now) >= 2 && failing() > fleet.usualFailing + 0.3; }

        boolean cold() { return srv.startedAtMs > 0 && now - srv.startedAtMs < fleet.rules.warmUpMs; }

        /** What a cold server may be sent, as a part of what a warm one gets: under the rule's multiple. */
        double coldPart() {
            double age = Math.max(0, now - srv.startedAtMs) / fleet.rules.warmUpMs;
            return COLD_MARGIN * fleet.rules.overloadMultiple * (age + (1 - age) * fleet.rules.initialCapacityShare);
        }
    }

    // the slowest do half of the mean: a third of the multiple leaves them room for bursts of heavy work
    private static final double COLD_MARGIN = 0.3;

    private final class Fleet { // ranking and health
        final SlowStartRules rules;
        final double start = 5.0 / place.gatewayCount; // five out at a server of middling size, over all gateways
        final Set<Node> nodes = new LinkedHashSet<>(); // in the order of the lists: chance is drawn in it
        final List<Node> ranked = new ArrayList<>(), cold = new ArrayList<>();
        double meanUnits = 1, meanPart = 0.12, unitsSquared = 1, unitsTimesPart = 0.12; // of answers, by size
        double meanSize = 1, pooled = 0.12, sum, usualFailing; // strain, limits of the fleet
        int out, apart, most, slots = 1;

        Fleet(SlowStartRules rules) { this.rules = rules; }

        void list(List<Server> entries, boolean whole) {
            Set<Server> named = new HashSet<>(entries);
            for (Node n : nodes) { if (whole && !named.contains(n.srv)) n.srv.state = Server.State.REMOVED; }
            nodes.removeIf(n -> n.srv.state == Server.State.REMOVED && n.running.isEmpty());
            for (Server s : entries) {
                if (s.state == Server.State.REMOVED || s.notes != null && nodes.contains(s.notes)) continue;
                s.notes = new Node(s);
                nodes.add((Node) s.notes);
            }
            rank();
        }

        double typical(Request r) {
            return Math.min(0.8, Math.max(0.1, 1.3 * pooled * size(r.units))) * r.requestClass.latencyObjectiveMs;
        }

        /** What a req of so many units takes, over one of mean size: a line through the answers of late. */
        double size(double units) {
            double spread = unitsSquared - meanUnits * meanUnits;
            double slope = spread < 0.01 ? 0 : (unitsTimesPart - meanUnits * meanPart) / spread;
            slope = Math.max(0, Math.min(slope, meanPart / meanUnits)); // nothing takes less than no time
            return Math.max(0.1, 1 + slope * (units - meanUnits) / Math.max(1e-9, meanPart));
        }

        private void weigh(double units, double part) {
            meanUnits += 0.02 * (units - meanUnits);
            meanPart += 0.02 * (part - meanPart);
            unitsSquared += 0.02 * (units * units - unitsSquared);
            unitsTimesPart += 0.02 * (units * part - unitsTimesPart);
        }

        // guards against a fleet of few cores before many gateways, each with part of a slot at each server
        boolean room() { return out < slots && ranked.stream().anyMatch(n -> n.running.size() < n.slots); }

        /** From the top of the order, in three passes that each open a further third of the limits. */
        Node pick(Job job) {
            if (out >= slots) return null;
            // what holds a req back on every server alike is asked once, not of each: a line may wait for it
            if (job.hops.isEmpty() && !job.book.mayOpen(job.req.units)) return null;
            for (Node n : cold) { if (now >= n.barredUntil && allowed(job, n)) return n; }
            for (int pass = 1; pass <= 3; pass++) {
                for (Node n : ranked) {
                    if (n.running.size() < Math.ceil(n.slots * pass / 3.0) && n.tried()
                            && allowed(job, n)) { return n; }
                }
            }
            return null;
        }

        void sent(Hop hop) {
            Node n = hop.node;
            n.running.add(hop);
            most = Math.max(most, ++out);
            if (n.cold()) n.tokens -= hop.job.req.units / meanUnits;
        }

        // guards cold servers: each earns its part of a dispatch with each good answer of a warm one, from a
        // stock anywhere under one, so that many gateways, also restarted ones, do not send together
        private void warmed() {
            int warm = ranked.size() > cold.size() ? ranked.size() - cold.size() : Math.max(1, ranked.size());
            for (Node n : cold) n.tokens = Math.min(1, n.tokens + n.coldPart() / warm);
        }

        void learn(Hop hop, AttemptOutcome how, double took, double units) {
            Node n = hop.node;
            n.running.remove(hop);
            if (hop.apart) apart--; else out--;
            if (how == AttemptOutcome.SUCCESS && took <= hop.job.req.requestClass.latencyObjectiveMs) view.serverHealthChanged(n.srv, false);
            if (how == AttemptOutcome.SUCCESS) n.unreached = 0;
            double part = took / hop.job.req.requestClass.latencyObjectiveMs;
            switch (how) {
                case SUCCESS -> {
                    if (!n.cold()) warmed();
                    weigh(units, part);
                    answer(n, part / size(units), part > 1 && !hop.late);
                }
                case TIMED_OUT -> answer(n, Math.max(1, part / hop.size), !hop.late);
                case ERROR, CONNECTION_LOST -> {
                    answer(n, n.meanStrain, true);
                    // guards against what fails at once and is free at once: one at a time is many a second
                    if (n.sick = n.fails()) n.bar();
                    if (n.sick) view.serverHealthChanged(n.srv, true);
                }
                case OVERLOADED, UNREACHABLE -> {
                    n.bar();
                    if (how == AttemptOutcome.UNREACHABLE) view.serverHealthChanged(n.srv, true); // where all are full, none is ill
                }
                default -> { }
            }
        }

        private void answer(Node n, double part, boolean late) {
            n.answers.add(now, 1);
            n.strain.add(now, Math.min(part, 2));
            n.rel += 0.1 * (Math.min(4, part / pooled) - n.rel);
            if (late) n.late.add(now, 1);
        }

        void renew() { for (Node n : nodes) DecisionEngine.this.out.closeIdleConnections(n.srv); }

        void rank() {
            ranked.clear();
            cold.clear();
            double parts = 4 * 0.12, seen = 4;
            for (Node n : nodes) {
                if (n.srv.state != Server.State.UP) continue;
                ranked.add(n);
                if (n.born != n.srv.startedAtMs) { // started anew: nothing that was seen of it counts
                    n.born = n.srv.startedAtMs;
                    n.tokens = chance.nextDouble();
                    n.barredUntil = n.unreached = 0;
                }
                if (n.cold()) cold.add(n);
                parts += n.strain.total(now);
                seen += n.answers.total(now);
            }
            Collections.shuffle(cold, chance); // guards the first of the list against all gateways at once
            pooled = parts / seen;
            meanSize = ranked.stream().mapToDouble(n -> n.srv.weight).average().orElse(1);
            ranked.forEach(this::measure);
            sum = ranked.stream().mapToDouble(n -> n.limit).sum();
            slots = Math.max(1, (int) (sum + Math.sqrt(sum) + chance.nextDouble()));
            most = out;
            double[] shares = ranked.stream().mapToDouble(Node::failing).sorted().toArray();
            usualFailing = shares.length == 0 ? 0 : shares[(shares.length - 1) / 2];
            for (Node n : ranked) {
                n.sick = n.fails();
                n.order = n.meanStrain * (1 + 0.8 / n.limit * n.luck);
            }
            ranked.sort((a, b) -> Double.compare(a.order, b.order));
            lift();
        }

        private void measure(Node n) {
            double seen = n.answers.total(now), sum = n.strain.total(now);
            // what is still out tells of a stalled server before its answers do
            for (Hop h : n.running) {
                double part = (now - h.at) / h.job.req.requestClass.latencyObjectiveMs;
                // guards a gateway of few slots against the few servers that keep them
                if (part > 3 * pooled * h.size && !h.apart && apart < slots) {
                    h.apart = true;
                    apart++;
                    out--;
                }
                if (part <= n.meanStrain * h.size) continue;
                seen++;
                sum += Math.min(part / h.size, 2);
                if (part > 1 && !h.late) n.late.add(now, 1);
                h.late |= part > 1;
            }
            // what is seen of few answers is weighed with what the whole fleet shows
            n.meanStrain = (sum + pooled * n.rel * 4) / (seen + 4);
            n.first = start * (meanSize > 0 && n.srv.weight > 0 ? n.srv.weight / meanSize : 1);
            if (n.limit <= 0) n.limit = n.first;
            if (n.usual < 0) n.usual = n.meanStrain;
            // with a part of the first limit, what is slow is no queue: then the usual rises soon
            boolean quick = n.meanStrain < n.usual || n.limit <= 0.5 * n.first;
            n.usual += (n.meanStrain - n.usual) * (quick ? 0.05 : 0.004);
            // what waits at a server only makes it slower, some for long: quick to shrink, slow to grow
            if (n.meanStrain > Math.min(0.4, 1.6 * n.usual)) {
                n.limit = Math.max(0.5 * n.first, n.limit * 0.9);
            } else if (n.meanStrain < 1.2 * n.usual && most >= 0.7 * this.sum) {
                n.limit = Math.min(200, n.limit * 1.01 + 0.01 * n.first);
            }
            n.slots = Math.max(1, (int) (n.limit + chance.nextDouble()));
        }
    }

    /** One window of one customer on the counter. */
    private static final class Win {
        final long index;
        double total; // as last read, with what a flush lost
        double readAt = Double.NEGATIVE_INFINITY;
        double own, lost, brought; // own net adds held; what a flush took off; a share of another plan's use
        boolean read;

        Win(long index) { this.index = index; }
    }

    /** A call to the counter; owed is what part of the amount is of earlier reqs. */
    private record Call(Book book, Win win, Job job, double amount, double owed, boolean reads) { }

    /** A customer's quota as this gateway knows it. */
    private final class Book {
        Tenant customer;
        Plan plan;
        Tally tally;
        double slice, window;
        Win cur, prev;
        double owed; // used, and not yet on the counter
        double local, localAt = now, ceiling, ceilingAt = startedAt;
        double room, roomAt, known; // how far the current total may rise, as reads tell; and at the last one
        double seenAt = Double.NEGATIVE_INFINITY;
        int open;

        Book(Tenant customer) {
            follow(customer);
            this.local = Math.max(plan.burst * slice, fleet.meanUnits);
        }

        private void follow(Tenant customer) {
            this.customer = customer;
            this.plan = customer.plan;
            this.tally = tallies.computeIfAbsent(plan, p -> new Tally());
            this.slice = 1.0 / Math.max(1, customer.fanIn);
            this.window = plan.quotaPerMs <= 0 ? MAX_WINDOW
                    : Math.min(MAX_WINDOW, BURSTS_A_WINDOW * plan.burst / plan.quotaPerMs);
        }

        /** Under another plan what was used stands as a floor under its count, up to all it allows by now. */
        Book under(Tenant to) {
            if (to.revision <= customer.revision || to.plan == plan) return this;
            roll();
            double full = plan.burst, spent = full - room(0);
            double used = prev.total * (1 - into() / window) + cur.total - owed;
            Win old = cur;
            follow(to);
            roll();
            if (cur != old) { // a window of another length has another name on the counter
                cur.lost = Math.max(0, Math.min(used, plan.burst + plan.quotaPerMs * into()));
                cur.brought = cur.lost * slice;
                cur.total = cur.lost + owed;
            }
            room = Math.max(0, Math.min(full, plan.burst) - spent); // no burst at each gateway
            roomAt = now;
            return this;
        }

        void roll() {
            long index = (long) Math.floor(now / window);
            if (cur != null && cur.index == index) return;
            boolean next = cur != null && cur.index == index - 1;
            prev = next ? cur : new Win(index - 1);
            cur = new Win(index);
            if (next) return;
            room = plan.burst;
            roomAt = index * window;
        }

        // guards against time saved up in a calm stretch, or before a first req late in a window: the bound
        // within the window is taken from each earlier read as well
        double room(double risen) {
            double full = room + (now - roomAt) * plan.quotaPerMs, most = Math.min(plan.burst, full - risen);
            // guards against bursts elsewhere: what rose unseen may have come last, out of a full store
            double least = Math.max(0, Math.min(plan.burst, full) - risen);
            room = most - 0.5 * Math.max(0, most - least);
            roomAt = now;
            return room;
        }

        double most() { return plan.quotaPerMs * window + plan.burst; } // that a window may hold

        double into() { return Math.min(window, now - cur.index * window); }

        boolean fits(double total) {
            return prev.total * (1 - into() / window) + total <= most()
                    && total <= plan.burst + plan.quotaPerMs * into() && total - cur.total <= room(0) + 1e-6;
        }

        /** Whether the window before, had it passed all it may, would deny anything now. */
        boolean overlaps() { return cur.total > most() * Math.min(1, now / window - cur.index); }

        void spend(Win win, double units) { win.total += units; room -= units; known -= units; }

        /** How long until these units will fit, if nobody else asks. */
        double fitsIn(double units) {
            double into = now - cur.index * window, total = cur.total + units;
            double wait = Math.max((total - plan.burst) / plan.quotaPerMs - into, (units - room(0)) / plan.quotaPerMs);
            if (prev.total > 0) wait = Math.max(wait, window * (1 - (most() - total) / prev.total) - into);
            return Math.max(1, wait);
        }

        boolean soft() { return plan.overQuotaWeight > 0 && plan.overQuotaCost <= 0; }

        /** Fills the slice: of many gateways each may save up one mean req, or none would ever pass. */
        double local() {
            local = Math.min(Math.max(plan.burst * slice, fleet.meanUnits),
                    local + (now - localAt) * plan.quotaPerMs * slice);
            localAt = now;
            return local;
        }

        // of many gateways each would take all the room that was left
        boolean fresh() { return 4 * slice >= 1 && cur.read && now - cur.readAt < plan.burst / plan.quotaPerMs; }

        // where calls are short those tell most whose room is not known, or small; and none that pass either
        // way: guards plans whose excess costs against others that take the calls they are judged by
        double patience() { return soft() || fresh() && fits(cur.total + plan.burst / 2) ? 4 : 0.5; }

        // on a fresh total, as if the others have used their slices of what has come free since, else on the
        // own slice; one smaller than the req is drawn for: over all gateways the slices pass what they hold
        boolean take(double units) {
            boolean fresh = fresh(), takes = fresh
                    ? fits(cur.total + units) && units <= known + slice * plan.quotaPerMs * (now - cur.readAt)
                    : local() >= units * chance.nextDouble();
            if (takes || !fresh) local = Math.max(0, local() - units);
            return takes;
        }

        // guards a ceiling drawn on by two processes of this gateway: what one fills the other lets go
        private void fill() {
            double full = plan.hardLimitBurst * slice, rate = plan.hardLimitPerMs * slice;
            ceiling = Math.min(full, ceiling + Math.max(0, Math.min(now, leftAt) - ceilingAt) * rate);
            ceiling = Math.max(0, ceiling - Math.max(0, now - Math.max(leftAt, ceilingAt)) * rate);
            ceilingAt = now;
        }

        /** Ceiling and cap on open reqs, for a first dispatch. */
        boolean mayOpen(double units) {
            return ceilingWait(units) <= 0 && (plan.maxOpenRequests <= 0 || open + 0.5 < openSlice());
        }

        /** The cap on open reqs is shared as the counter shows the traffic to be, at first evenly. */
        private double openSlice() {
            double own = Math.max(0, cur.own) + Math.max(0, prev.own) + cur.brought + prev.brought;
            double all = cur.total + prev.total;
            double part = (own + plan.burst * slice) / (all + plan.burst + 1e-9);
            return Math.max(1, plan.maxOpenRequests * Math.min(1, part));
        }

        double ceilingWait(double units) {
            fill();
            return plan.hardLimitPerMs <= 0 ? 0 : (units - ceiling) / (plan.hardLimitPerMs * slice);
        }
    }

    private static final double BURSTS_A_WINDOW = 6; // a burst may go beyond at each edge: few edges
    private static final double MAX_WINDOW = 29_000; // two fit the counter's memory of a minute
    private static final int SILENT_AFTER = 4; // unanswered calls in a row
    private static final double ASK_SILENT_MS = 50; // all gateways together look for its end this often
    private static final double CALM_MS = 700, SLOWER = 1.5; // gaps between calls: shrink in, grow by
    private static final double QUEUED = 0.35; // of its time, over the least that calls take: it waited there
    private static final double LATE_MS = 1000; // a counter that answers late is slow, not silent
    private static final double TRUST_MS = 500; // an empty quota is believed this long without another call

    /** The main path and counter doubt. */
    private final class Quotas {
        final CounterSettings terms;
        final Map<Long, ArrayDeque<Call>> calls = new HashMap<>();
        final ArrayDeque<Job> asking = new ArrayDeque<>();
        final Map<Long, Book> books = new HashMap<>();
        int unanswered;
        double askedAt = Double.NEGATIVE_INFINITY, slowedAt = askedAt, lateAt = askedAt;
        double gap; // between calls; none under 1 ms
        double least = Double.POSITIVE_INFINITY, leastBefore = least, leastSince; // that calls took, of late

        Quotas(CounterSettings terms) { this.terms = terms; }

        Book book(Tenant c) { return books.computeIfAbsent(c.id, id -> new Book(c)).under(c); }

        /** Keeps memory bounded: of a customer not seen for two windows no count matters any more. */
        void forget() {
            books.values().removeIf(b -> now - b.seenAt > 2 * MAX_WINDOW && b.open == 0
                    && b.ceilingWait(b.plan.hardLimitBurst * b.slice) <= 0);
        }

        void ask(Job job) {
            Book b = job.book;
            b.roll();
            b.seenAt = now;
            double units = job.req.units;
            if (b.plan.quotaPerMs <= 0 || !terms.present) { posture(job); return; }
            boolean empty = b.cur.read && now - b.cur.readAt < TRUST_MS && !b.fits(b.cur.total + units);
            if (empty) { finish(job, b.fitsIn(units)); return; }
            boolean silent = unanswered >= SILENT_AFTER;
            double pause = silent ? Math.min(4000, ASK_SILENT_MS * place.gatewayCount) : gap * b.patience();
            if (now - askedAt < pause) { if (posture(job)) b.owed += units; return; }
            askedAt = now;
            call(b, b.cur, job, units);
            if (silent) settleSilence(job); else asking.add(job);
        }

        private void call(Book b, Win win, Job job, double units) {
            double owed = win == b.cur ? b.owed : 0;
            if (win == b.cur) b.owed = 0;
            Call call = new Call(b, win, job, units + owed, owed, job != null && units == 0);
            long name = name(b, win);
            calls.computeIfAbsent(name, n -> new ArrayDeque<>(2)).add(call);
            out.incrementCounter(name, call.amount(), 2 * b.window + 1000);
        }

        /** Bounds every wait, whichever answer is missing: of this window's name or of the one before. */
        void hurry() {
            while (!asking.isEmpty()) {
                Job job = asking.peek();
                if ((!job.decided || job.waits) && now - job.askedAt < 0.05 * job.req.requestClass.latencyObjectiveMs) return;
                asking.poll();
                settleSilence(job);
                if (job.waits) judge(job);
            }
        }

        private void settleSilence(Job job) {
            if (job.decided) return;
            job.decided = true;
            job.passed = !job.over && posture(job);
        }

        void answer(long name, AttemptOutcome how, double took, double total) {
            ArrayDeque<Call> queue = calls.get(name);
            if (queue == null) return;
            Call call = queue.poll();
            if (queue.isEmpty()) calls.remove(name);
            Book b = call.book();
            Job job = call.job();
            boolean good = how == AttemptOutcome.SUCCESS;
            unanswered = good || how == AttemptOutcome.CONNECTION_LOST ? 0 : unanswered + 1; // resets are no silence
            boolean slow = unanswered < SILENT_AFTER || now - lateAt < LATE_MS;
            if (how != AttemptOutcome.CONNECTION_LOST) pace(good, took);
            if (good) read(call, total);
            if (call.reads()) { if (job.waits) judge(job); return; }
            if (!good) {
                if (job != null) settleSilence(job);
                // surely not added: what is owed, passed or to be taken back rides on the next call
                if (!how.mayHaveRun) b.owed += job == null || job.passed ? call.amount() : call.owed();
                // a slow counter adds late what nobody waits for any more: what was denied comes off again
                else if (slow && job != null && !job.passed) b.owed -= job.req.units;
                return;
            }
            if (job == null || job.passed) return;
            job.countedIn = call.win();
            job.total = call.win().total;
            if (job.decided) { takeBack(job); return; }
            job.decided = true;
            // guards a short counter against calls that can't change an answer
            job.waits = !job.over && call.win() == b.cur && !b.prev.read && (gap < 1 || b.overlaps());
            if (job.waits) call(b, b.prev, job, 0); else judge(job);
        }

        // guards against a counter that bears less than a call a req: fewer made, more answered in time. Of
        // many gateways each sees the line there grow by the time of its calls, before any is missed
        private void pace(boolean answered, double took) {
            if (now - leastSince > 10_000) {
                leastBefore = least;
                least = Double.POSITIVE_INFINITY;
                leastSince = now;
            }
            if (answered) least = Math.min(least, took);
            boolean queued = gap > terms.timeoutMs / 8
                    && took > Math.min(least, leastBefore) + QUEUED * terms.timeoutMs;
            if (answered && !queued) gap *= 1 - Math.min(0.3, gap / CALM_MS);
            else if (now - slowedAt >= terms.timeoutMs) {
                gap = Math.min(ASK_SILENT_MS * place.gatewayCount, Math.max(1, gap) * SLOWER);
                slowedAt = now;
            }
        }

        /** A total below what this gateway alone added means a flush: what was known stays as a floor. */
        private void read(Call call, double total) {
            Win w = call.win();
            w.own += call.amount();
            if (total < w.own - terms.maxRequestUnits) {
                w.lost = Math.max(w.lost, w.total - Math.max(0, total - call.amount()));
                w.own = total;
            }
            Job job = call.reads() ? null : call.job();
            learn(call.book(), w, total + w.lost, job == null ? 0 : job.req.units);
        }

        private void learn(Book b, Win w, double total, double units) {
            // what was sent on beyond the quota takes nothing from it: the room is never below nought
            if (w == b.cur || w.read) b.room = Math.max(0, b.room(total - w.total - units)) - units;
            w.total = total;
            w.read = true;
            w.readAt = now;
            b.known = b.room;
        }

        /** What comes after its call was given up is true all the same; what is still owed is not in it. */
        void late(long name, double total) {
            Book b = books.get(name >> 30);
            if (b == null) return;
            b.roll();
            lateAt = now;
            if (name == name(b, b.cur)) learn(b, b.cur, total + b.cur.lost + b.owed, 0);
        }

        private static long name(Book b, Win w) { return (b.customer.id << 30) + (w.index & (1 << 30) - 1); }

        private void judge(Job job) {
            Book b = job.book;
            b.roll();
            job.waits = false;
            if (job.over) { if (job.countedIn != null) takeBack(job); return; } // else done already
            if (b.fits(b.cur == job.countedIn ? job.total : b.cur.total)) {
                b.local = Math.max(0, b.local() - job.req.units); // the slice tells what is left, read or not
                admit(job);
            } else finish(job, b.fitsIn(0));
        }

        private void takeBack(Job job) {
            job.book.spend(job.countedIn, -job.req.units);
            call(job.book, job.countedIn, null, -job.req.units);
            job.countedIn = null;
        }

        /** When the counter says nothing: soft plans pass, others live on its last word or an even slice. */
        private boolean posture(Job job) {
            Plan p = job.book.plan;
            boolean inside = p.quotaPerMs <= 0 || job.book.take(job.req.units);
            if (!inside) job.worth *= p.overQuotaWeight;
            if (inside && p.quotaPerMs > 0 && terms.present) { // it is owed, or was added: as if it had been read
                job.countedIn = job.book.cur;
                job.book.spend(job.countedIn, job.req.units);
            }
            if (inside || job.book.soft()) admit(job); else finish(job, job.req.units / p.quotaPerMs);
            return inside;
        }

        /** The difference rides on the customer's next call. */
        void settle(Job job, double settled) {
            if (job.countedIn != null) job.book.owed += settled - job.req.units;
            job.countedIn = null;
        }
    }

    /** What was measured lately: fixed buckets of time, used again in a ring. */
    private static final class Ring {
        private static final int BUCKETS = 8;
        private static final double BUCKET_MS = 500, SPAN = BUCKETS * BUCKET_MS;
        private final double[] sums = new double[BUCKETS];
        private final long[] turns = new long[BUCKETS];
        private long last;

        void add(double at, double amount) {
            long turn = (long) (at / BUCKET_MS);
            int i = (int) (turn % BUCKETS);
            sums[i] = turns[i] == turn ? sums[i] + amount : amount;
            turns[i] = last = turn;
        }

        double total(double at) {
            long turn = (long) (at / BUCKET_MS);
            if (turn - last >= BUCKETS) return 0; // most servers of a large fleet: nothing of late
            double total = 0;
            for (int i = 0; i < BUCKETS; i++) { if (turn - turns[i] < BUCKETS) total += sums[i]; }
            return total;
        }
    }
}
