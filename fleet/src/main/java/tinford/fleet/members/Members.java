package tinford.fleet.members;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;
import tinford.fleet.transport.Transport;

/**
 * Who lives, and what each saw: records told about by chance. Each round a message goes to a few
 * others, with the own record and those of others that were told least, so that a gateway sends and
 * takes as much in a fleet of any size. Keeps one record a gateway.
 *
 * <p>A record's age is what its teller counted and the time since it was heard. Where that
 * incarnation's records have come faster before, one that took longer (late, or taken by a process
 * that had been stopped) counts as older by the difference, so that an age is too low by the
 * quickest way of late at most; where an incarnation is heard of for the first time, by that
 * record's time under way. Only the own clock and the owner's count of time since its start are
 * compared, never two clocks.
 */
public final class Members implements Membership {
    /** How far in the future another's start may lie, ms. */
    public static final double AHEAD = 5000;

    /**
     * Messages taken in: so many a second, and so many at once; never more than the sum in any
     * second.
     */
    public static final int TAKEN_A_SECOND = 50;

    public static final int TAKEN_AT_ONCE = 50;

    /**
     * So many times the time for suspicion after a later incarnation was last heard of, an earlier
     * one counts again (an upgrade that failed).
     */
    public static final double FORGOTTEN = 10;

    /**
     * One of so many messages goes to any gateway, heard of or not, so that halves find each other
     * again.
     */
    private static final int ANY = 8;

    /**
     * The quickest way is that of the last one or two of these, ms: a clock that stood still is
     * followed by then.
     */
    private static final double QUICKEST_OVER = 10_000;

    /** Signs of incarnation that a message holds at most: half of it. */
    private static final int MAX_HEARTBEATS = 16;

    /** Other gateways' records that a message holds at most. */
    private static final int MAX_RECORDS = 5;

    /** An incarnation is news until its records were told so often. */
    private static final int NEWS = 8;

    private static final Comparator<Other> FRESHEST =
            (a, b) ->
                    a.told != b.told
                            ? Integer.compare(a.told, b.told)
                            : Double.compare(b.made, a.made);

    /** News first, then by turns, so that no gateway is left out. */
    private static final Comparator<Other> TURNS =
            (a, b) -> {
                int c =
                        Integer.compare(
                                Math.min(NEWS, a.incarnationTold),
                                Math.min(NEWS, b.incarnationTold));
                return c != 0 ? c : Double.compare(a.lastTold, b.lastTold);
            };

    private static final Comparator<Other> ALIVE =
            (a, b) ->
                    a.aliveTold != b.aliveTold
                            ? Integer.compare(a.aliveTold, b.aliveTold)
                            : Double.compare(b.alive, a.alive);

    /** What is known of one other gateway. */
    private static final class Other {
        Incarnation incarnation;
        int seq;

        /**
         * The record as it came; read again where it is asked for, which takes less room than 59
         * numbers.
         */
        byte[] raw;

        /** When its owner made it, by the own clock. */
        double made;

        /** When it surely lived, by the own clock: then or later. */
        double alive;

        /** How often this record, any of this incarnation's, and this heartbeat were told. */
        int told;

        int incarnationTold;
        double lastTold;
        long lastIn;
        int aliveTold;

        /** Counted as living until then even if nothing is heard: the own process was stopped. */
        double granted;

        /**
         * When its owner's process started, by the own clock and the quickest way: over the present
         * time and the one before.
         */
        double start;

        double startBefore;
        double startSince;
    }

    private final Incarnation self;
    private final Other[] others;
    private final double every;
    private final int fanout;
    private final double suspectAfter;
    private final double freshFor;
    private final Random chance;
    private final GossipCodec codec;

    /** What this round's messages carry, the best first. */
    private final Other[] freshest;

    private final Other[] turns;
    private final Other[] heartbeats;

    /**
     * When others told that a gateway lives of which no record was heard yet. What they told may be
     * as old as they may tell it, so that one that never was heard itself may count for twice the
     * time after which it is suspected.
     */
    private final double[] rumoured;

    private final int[] peers;
    private GossipRecord own;
    private byte[] ownRaw;
    private double ownMade;
    private double now = Double.NEGATIVE_INFINITY;
    private double next = Double.NEGATIVE_INFINITY;

    /**
     * The own process was stopped for so long, and until then takes what waited for it meanwhile.
     */
    private double stopped;

    private double wakesUntil = Double.NEGATIVE_INFINITY;
    private double tokens = TAKEN_AT_ONCE;
    private double tokensAt;
    private long messages;
    private boolean replaced;
    private long refused;
    private long over;

    /**
     * @param gateways of the fleet by its settings
     * @param every ms between rounds
     * @param fanout messages a round
     * @param suspectAfter ms without a record made by then
     * @param freshFor up to which age a record counts, ms
     */
    public Members(
            Incarnation self,
            int gateways,
            double every,
            int fanout,
            double suspectAfter,
            double freshFor,
            Random chance) {
        if (self.gateway() < 0
                || self.gateway() >= gateways
                || gateways > 65536
                || suspectAfter > GossipCodec.MAX_AGE) {
            throw new IllegalArgumentException(
                    "gateway "
                            + self.gateway()
                            + " of "
                            + gateways
                            + ", suspected after "
                            + suspectAfter
                            + " ms: expected one of at most 65536, and at most "
                            + GossipCodec.MAX_AGE
                            + " ms");
        }
        this.self = self;
        this.others = new Other[gateways];
        this.every = every;
        this.fanout = fanout;
        this.suspectAfter = suspectAfter;
        this.freshFor = Math.min(freshFor, suspectAfter);
        this.chance = chance;
        this.codec = new GossipCodec(gateways, AHEAD);
        this.freshest = new Other[fanout * MAX_RECORDS];
        this.turns = new Other[fanout * MAX_RECORDS];
        this.rumoured = new double[gateways];
        Arrays.fill(rumoured, Double.NEGATIVE_INFINITY);
        this.heartbeats = new Other[fanout * MAX_HEARTBEATS];
        this.peers = new int[gateways];
    }

    /** The own record, renewed by its owner before each round. */
    public void own(GossipRecord record, double at) {
        time(at);
        own = record;
        ownMade = now;
        ownRaw = GossipCodec.encode(record, now - self.start());
    }

    /**
     * Sends once {@code every} ms have gone by since it last did; what was missed is not made up
     * for.
     */
    public void round(double at, Transport out) {
        time(at);
        if (at < next || own == null || others.length < 2) {
            return;
        }
        next = Math.max(next + every, at + every / 2);
        choose(freshest, FRESHEST, o -> o.made);
        choose(turns, TURNS, o -> o.made);
        choose(heartbeats, ALIVE, o -> o.alive);
        int living = livingPeers();
        for (int i = 0; i < fanout; i++) {
            int to =
                    living == 0 || chance.nextInt(ANY) == 0 ? any() : peers[chance.nextInt(living)];
            tell(to, i, living, out);
        }
    }

    /** Takes a message; what can't be, or comes beyond the bound, is dropped and counted. */
    public void heard(byte[] message, int from, double at) {
        time(at);
        tokens =
                Math.min(
                        TAKEN_AT_ONCE, tokens + Math.max(0, at - tokensAt) * TAKEN_A_SECOND / 1000);
        tokensAt = at;
        if (tokens < 1) {
            over++;
            return;
        }
        tokens--;
        List<GossipCodec.Received> received = codec.read(message, at);
        if (received.isEmpty() || received.get(0).record().incarnation.gateway() != from) {
            refused++;
            return;
        }
        for (int i = 0; i < received.size(); i++) {
            take(received.get(i));
        }
        for (ByteBuffer heartbeats = GossipCodec.heartbeats(message);
                heartbeats.remaining() >= GossipCodec.HEARTBEAT_BYTES; ) {
            takeHeartbeat(heartbeats);
        }
    }

    /** An incarnation that is known was seen alive; one that isn't is left to its record. */
    private void takeHeartbeat(ByteBuffer heartbeat) {
        int gateway = heartbeat.getShort() & 0xFFFF;
        short incarnation = heartbeat.getShort();
        int unit = (heartbeat.get() & 255) << 16 | heartbeat.getShort() & 0xFFFF;
        Other o = gateway < others.length ? others[gateway] : null;
        if (o == null && gateway < others.length && now >= wakesUntil) {
            rumoured[gateway] = now;
        }
        if (o == null || (short) o.incarnation.start() != incarnation) {
            return;
        }
        double start = Math.min(o.start, o.startBefore);
        double alive = start + GossipCodec.unwrap(unit, now - start);
        if (alive > o.alive && alive <= now) {
            o.alive = alive;
            o.aliveTold = 0;
        }
    }

    private void take(GossipCodec.Received received) {
        Incarnation incarnation = received.record().incarnation;
        if (incarnation.gateway() == self.gateway()) {
            replaced |= incarnation.start() > self.start();
            return;
        }
        Other o = others[incarnation.gateway()];
        boolean forgotten = o != null && now - o.alive > FORGOTTEN * suspectAfter;
        if (o == null
                || incarnation.start() > o.incarnation.start()
                || forgotten && incarnation.start() < o.incarnation.start()) {
            double age = received.age() + (now < wakesUntil ? stopped : 0);
            double made = now - age;
            if (age > suspectAfter) {
                return;
            }
            o = new Other();
            others[incarnation.gateway()] = o;
            o.granted = Double.NEGATIVE_INFINITY;
            o.alive = Double.NEGATIVE_INFINITY;
            o.start = made - received.made();
            o.startBefore = o.start;
            o.startSince = now;
            keep(o, received, made);
        } else if (incarnation.start() == o.incarnation.start()) {
            double age =
                    Math.max(
                            received.age(),
                            now
                                    - received.made()
                                    - quickest(o, now - received.age() - received.made()));
            if (age <= suspectAfter && received.record().seq - o.seq > 0) {
                keep(o, received, now - age);
            }
        }
    }

    /** When that process started, by the own clock, as the quickest of its records of late tell. */
    private double quickest(Other o, double start) {
        if (now - o.startSince > QUICKEST_OVER && now >= wakesUntil) {
            o.startBefore = o.start;
            o.start = start;
            o.startSince = now;
        }
        o.start = Math.min(o.start, start);
        return Math.min(o.start, o.startBefore);
    }

    private static void keep(Other o, GossipCodec.Received received, double made) {
        o.incarnation = received.record().incarnation;
        o.seq = received.record().seq;
        o.raw = received.raw();
        o.made = made;
        o.told = 0;
        if (made > o.alive) {
            o.alive = made;
            o.aliveTold = 0;
        }
    }

    /**
     * After a stop of the own process, those who lived before are not accused until they had the
     * time to be heard again.
     */
    private void time(double at) {
        if (at - now > 2 * every && now != Double.NEGATIVE_INFINITY) {
            stopped = at - now;
            wakesUntil = at + every;
        }
        if (at - now > Math.max(suspectAfter / 2, 2 * every) && now != Double.NEGATIVE_INFINITY) {
            for (Other o : others) {
                if (o != null && lives(o)) {
                    o.granted = at + suspectAfter;
                }
            }
        }
        now = Math.max(now, at);
    }

    private boolean alive(int gateway) {
        Other o = others[gateway];
        return gateway == self.gateway()
                || (o == null ? now - rumoured[gateway] <= suspectAfter : lives(o));
    }

    private boolean lives(Other o) {
        return now - o.alive <= suspectAfter || now < o.granted;
    }

    /**
     * The first by that order, of those whose record or heartbeat is not too old; as many as this
     * round's messages may hold.
     */
    private void choose(Other[] into, Comparator<Other> order, ToDoubleFunction<Other> time) {
        Arrays.fill(into, null);
        int n = 0;
        for (Other o : others) {
            if (o == null
                    || now - time.applyAsDouble(o) > suspectAfter
                    || n == into.length && order.compare(o, into[n - 1]) >= 0) {
                continue;
            }
            int at = n < into.length ? n++ : n - 1;
            for (; at > 0 && order.compare(o, into[at - 1]) < 0; at--) {
                into[at] = into[at - 1];
            }
            into[at] = o;
        }
    }

    private int livingPeers() {
        int n = 0;
        for (int i = 0; i < others.length; i++) {
            if (i != self.gateway() && alive(i)) {
                peers[n++] = i;
            }
        }
        return n;
    }

    private int any() {
        int i = chance.nextInt(others.length - 1);
        return i < self.gateway() ? i : i + 1;
    }

    /** The own record, others' by freshness and by turns alternately, and heartbeats. */
    private void tell(int to, int message, int living, Transport out) {
        ByteBuffer b = GossipCodec.message(out.maxMessageBytes());
        if (!GossipCodec.addRecord(b, ownRaw, now - ownMade)) {
            return;
        }
        messages++;
        boolean news = turns[0] != null && turns[0].incarnationTold < NEWS;
        int spare =
                1
                        + (news
                                        ? MAX_HEARTBEATS / 4
                                        : Math.max(0, Math.min(MAX_HEARTBEATS, living - 4)))
                                * GossipCodec.HEARTBEAT_BYTES;
        for (int i = message; i < MAX_RECORDS * fanout; i += fanout) {
            record(b, turns[i], to, spare);
            record(b, freshest[i], to, spare);
        }
        GossipCodec.endRecords(b);
        for (int i = message; i < heartbeats.length && heartbeats[i] != null; i += fanout) {
            Other o = heartbeats[i];
            if (o.incarnation.gateway() != to
                    && GossipCodec.addHeartbeat(
                            b, o.incarnation, o.alive - Math.min(o.start, o.startBefore))) {
                o.aliveTold++;
            }
        }
        out.send(to, GossipCodec.toBytes(b));
    }

    private void record(ByteBuffer message, Other o, int to, int spare) {
        if (o == null
                || o.lastIn == messages
                || o.incarnation.gateway() == to
                || message.remaining() < o.raw.length + spare
                || !GossipCodec.addRecord(message, o.raw, now - o.made)) {
            return;
        }
        o.told++;
        o.incarnationTold++;
        o.lastTold = now;
        o.lastIn = messages;
    }

    @Override
    public int living() {
        int n = 0;
        for (int i = 0; i < others.length; i++) {
            n += alive(i) ? 1 : 0;
        }
        return n;
    }

    @Override
    public boolean lives(int gateway) {
        return gateway >= 0 && gateway < others.length && alive(gateway);
    }

    @Override
    public List<Integer> all() {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < others.length; i++) {
            if (lives(i)) {
                all.add(i);
            }
        }
        return all;
    }

    @Override
    public List<GossipRecord> fresh() {
        List<GossipRecord> fresh = new ArrayList<>();
        for (int i = 0; i < others.length; i++) {
            if (i == self.gateway() && own != null) {
                fresh.add(own);
            } else if (others[i] != null && now - others[i].made <= freshFor) {
                fresh.add(GossipCodec.decode(others[i].raw));
            }
        }
        return fresh;
    }

    @Override
    public int size() {
        return others.length;
    }

    /** The present incarnation of a gateway as known; null where none was heard of. */
    public Incarnation incarnation(int gateway) {
        return gateway == self.gateway()
                ? self
                : others[gateway] == null ? null : others[gateway].incarnation;
    }

    /** The newest record heard of a gateway, fresh or not; null where there is none. */
    public GossipRecord of(int gateway) {
        return gateway == self.gateway()
                ? own
                : others[gateway] == null ? null : GossipCodec.decode(others[gateway].raw);
    }

    /** Its age now, ms; infinite where there is none. */
    public double age(int gateway) {
        if (gateway == self.gateway()) {
            return own == null ? Double.POSITIVE_INFINITY : now - ownMade;
        }
        return others[gateway] == null ? Double.POSITIVE_INFINITY : now - others[gateway].made;
    }

    /** Ms since it surely lived; infinite where nothing was heard of it. */
    public double silent(int gateway) {
        return gateway == self.gateway()
                ? 0
                : others[gateway] == null ? Double.POSITIVE_INFINITY : now - others[gateway].alive;
    }

    /** Whether a later process of the own number was heard of. */
    public boolean replaced() {
        return replaced;
    }

    /** Messages of another version, torn, absurd, or whose first record is not their sender's. */
    public long refused() {
        return refused;
    }

    /** Messages beyond the bound. */
    public long over() {
        return over;
    }
}
