package tinford.fleet.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
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
public final class GossipMembership implements Membership {
    /** How far in the future another's start may lie, ms. */
    public static final double MAX_START_AHEAD_MS = 5000;

    /**
     * Messages taken in: so many a second, and so many at once; never more than the sum in any
     * second.
     */
    public static final int MAX_MESSAGES_PER_SECOND = 50;

    public static final int MAX_MESSAGE_BURST = 50;

    /**
     * So many times the time for suspicion after a later incarnation was last heard of, an earlier
     * one counts again (an upgrade that failed).
     */
    public static final double FORGET_AFTER_SUSPICION_TIMES = 10;

    /**
     * One of so many messages goes to any gateway, heard of or not, so that halves find each other
     * again.
     */
    private static final int ANY = 8;

    private final Incarnation self;
    private final Peer[] others;
    private final double every;
    private final int fanout;
    private final double suspectAfter;
    private final double freshFor;
    private final Random chance;
    private final GossipCodec codec;
    private final GossipComposer composer;
    private final TokenBucket incoming =
            new TokenBucket(MAX_MESSAGE_BURST, MAX_MESSAGES_PER_SECOND);

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
    public GossipMembership(
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
                || suspectAfter > GossipCodec.MAX_AGE_MS) {
            throw new IllegalArgumentException(
                    "gateway "
                            + self.gateway()
                            + " of "
                            + gateways
                            + ", suspected after "
                            + suspectAfter
                            + " ms: expected one of at most 65536, and at most "
                            + GossipCodec.MAX_AGE_MS
                            + " ms");
        }
        this.self = self;
        this.others = new Peer[gateways];
        this.every = every;
        this.fanout = fanout;
        this.suspectAfter = suspectAfter;
        this.freshFor = Math.min(freshFor, suspectAfter);
        this.chance = chance;
        this.codec = new GossipCodec(gateways, MAX_START_AHEAD_MS);
        this.composer = new GossipComposer(others, fanout, suspectAfter);
        this.rumoured = new double[gateways];
        Arrays.fill(rumoured, Double.NEGATIVE_INFINITY);
        this.peers = new int[gateways];
    }

    /** The own record, renewed by its owner before each round. */
    public void setOwnRecord(GossipRecord record, double at) {
        time(at);
        own = record;
        ownMade = now;
        ownRaw = GossipCodec.encode(record, now - self.start());
    }

    /**
     * Sends once {@code every} ms have gone by since it last did; what was missed is not made up
     * for.
     */
    public void sendRound(double at, Transport out) {
        time(at);
        if (at < next || own == null || others.length < 2) {
            return;
        }
        next = Math.max(next + every, at + every / 2);
        composer.choose(now);
        int living = livingPeers();
        for (int i = 0; i < fanout; i++) {
            int to =
                    living == 0 || chance.nextInt(ANY) == 0 ? any() : peers[chance.nextInt(living)];
            byte[] message =
                    composer.compose(
                            ownRaw, now - ownMade, to, i, living, out.maxMessageBytes(), now);
            if (message != null) {
                out.send(to, message);
            }
        }
    }

    /** Takes a message; what can't be, or comes beyond the bound, is dropped and counted. */
    public void receive(byte[] message, int from, double at) {
        time(at);
        if (!incoming.take(at)) {
            over++;
            return;
        }
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
        Peer peer = gateway < others.length ? others[gateway] : null;
        if (peer == null && gateway < others.length && now >= wakesUntil) {
            rumoured[gateway] = now;
        }
        if (peer == null || (short) peer.incarnation().start() != incarnation) {
            return;
        }
        double start = peer.start();
        double alive = start + GossipCodec.unwrap(unit, now - start);
        if (alive <= now) {
            peer.heard(alive);
        }
    }

    private void take(GossipCodec.Received received) {
        Incarnation incarnation = received.record().incarnation;
        if (incarnation.gateway() == self.gateway()) {
            replaced |= incarnation.start() > self.start();
            return;
        }
        Peer peer = others[incarnation.gateway()];
        if (peer == null || replaces(incarnation, peer)) {
            double age = received.ageMs() + (now < wakesUntil ? stopped : 0);
            if (age <= suspectAfter) {
                others[incarnation.gateway()] = new Peer(received, now - age, now);
            }
        } else if (incarnation.start() == peer.incarnation().start()) {
            takeNext(peer, received);
        }
    }

    /** A later one, or an earlier one once the later was not heard of for long. */
    private boolean replaces(Incarnation incarnation, Peer peer) {
        boolean forgotten = now - peer.alive() > FORGET_AFTER_SUSPICION_TIMES * suspectAfter;
        return incarnation.start() > peer.incarnation().start()
                || forgotten && incarnation.start() < peer.incarnation().start();
    }

    private void takeNext(Peer peer, GossipCodec.Received received) {
        double told = now - received.ageMs() - received.madeAtMs();
        double quickest = peer.quickestStart(told, now, now >= wakesUntil);
        double age = Math.max(received.ageMs(), now - received.madeAtMs() - quickest);
        if (age <= suspectAfter && peer.isOlderThan(received.record())) {
            peer.keep(received, now - age);
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
            for (Peer peer : others) {
                if (peer != null && peer.lives(now, suspectAfter)) {
                    peer.grantUntil(at + suspectAfter);
                }
            }
        }
        now = Math.max(now, at);
    }

    private boolean alive(int gateway) {
        if (gateway == self.gateway()) {
            return true;
        }
        Peer peer = others[gateway];
        return peer == null
                ? now - rumoured[gateway] <= suspectAfter
                : peer.lives(now, suspectAfter);
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

    @Override
    public int aliveCount() {
        int n = 0;
        for (int i = 0; i < others.length; i++) {
            n += alive(i) ? 1 : 0;
        }
        return n;
    }

    @Override
    public boolean isAlive(int gateway) {
        return gateway >= 0 && gateway < others.length && alive(gateway);
    }

    @Override
    public List<Integer> aliveGateways() {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < others.length; i++) {
            if (isAlive(i)) {
                all.add(i);
            }
        }
        return all;
    }

    @Override
    public List<GossipRecord> freshRecords() {
        List<GossipRecord> fresh = new ArrayList<>();
        for (int i = 0; i < others.length; i++) {
            if (i == self.gateway() && own != null) {
                fresh.add(own);
            } else if (others[i] != null && now - others[i].made() <= freshFor) {
                fresh.add(others[i].record());
            }
        }
        return fresh;
    }

    @Override
    public int fleetSize() {
        return others.length;
    }

    /** The present incarnation of a gateway as known; null where none was heard of. */
    public Incarnation incarnation(int gateway) {
        return gateway == self.gateway()
                ? self
                : others[gateway] == null ? null : others[gateway].incarnation();
    }

    /** The newest record heard of a gateway, fresh or not; null where there is none. */
    public GossipRecord newestRecord(int gateway) {
        return gateway == self.gateway()
                ? own
                : others[gateway] == null ? null : others[gateway].record();
    }

    /** Its age now, ms; infinite where there is none. */
    public double recordAgeMs(int gateway) {
        if (gateway == self.gateway()) {
            return own == null ? Double.POSITIVE_INFINITY : now - ownMade;
        }
        return others[gateway] == null ? Double.POSITIVE_INFINITY : now - others[gateway].made();
    }

    /** Ms since it surely lived; infinite where nothing was heard of it. */
    public double silenceMs(int gateway) {
        return gateway == self.gateway()
                ? 0
                : others[gateway] == null
                        ? Double.POSITIVE_INFINITY
                        : now - others[gateway].alive();
    }

    /** Whether a later process of the own number was heard of. */
    public boolean isReplaced() {
        return replaced;
    }

    /** Messages of another version, torn, absurd, or whose first record is not their sender's. */
    public long rejectedMessages() {
        return refused;
    }

    /** Messages beyond the bound. */
    public long rateLimitedMessages() {
        return over;
    }
}
