package tinford.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import tinford.fleet.transport.Transport;

/**
 * Membership by gossip. In each round a message goes to a few random gateways, with the own record
 * and those of others that were forwarded least, so that the traffic of a gateway does not grow
 * with the fleet. Keeps one record for each gateway. For one thread; times are in ms of its wall
 * clock.
 *
 * <p>A record's age is what its sender counted, plus the time since it was received. Where records
 * of the incarnation have come faster before, a slower one (delayed, or received by a process that
 * was suspended) counts as older by the difference, so that an age is too low by the shortest
 * recent delay at most; for the first record of an incarnation, by that record's delay. Only the
 * own clock and the owner's count of time since its start are compared, never two clocks.
 */
public final class GossipMembership implements Membership {
    /** How far in the future another incarnation's start may lie. */
    public static final double MAX_START_AHEAD_MS = 5000;

    /** Messages accepted; the rate and the burst together bound those of any second. */
    public static final int MAX_MESSAGES_PER_SECOND = 50;

    public static final int MAX_MESSAGE_BURST = 50;

    /**
     * This many suspicion times after a later incarnation was last alive, an earlier one is
     * accepted again, as after a failed upgrade.
     */
    public static final double FORGET_AFTER_SUSPICION_TIMES = 10;

    /**
     * One of so many messages goes to any gateway, alive or not, so that the halves of a partition
     * find each other again.
     */
    private static final int RANDOM_TARGET_PERIOD = 8;

    private static final int MAX_GATEWAYS = 65536;

    private final Incarnation self;
    private final double roundIntervalMs;
    private final int fanout;
    private final double freshForMs;
    private final Random random;
    private final GossipCodec codec;
    private final PeerTable peers;
    private final GossipComposer composer;
    private final SuspensionDetector suspension;
    private final TokenBucket incoming =
            new TokenBucket(MAX_MESSAGE_BURST, MAX_MESSAGES_PER_SECOND);
    private final int[] alivePeers;
    private GossipRecord ownRecord;
    private byte[] ownEncoded;
    private double ownMadeMs;
    private double nowMs = Double.NEGATIVE_INFINITY;
    private double nextRoundMs = Double.NEGATIVE_INFINITY;
    private boolean replaced;
    private long rejectedMessages;
    private long rateLimitedMessages;

    /**
     * @param gateways number of gateways that the settings name
     * @param roundIntervalMs between rounds
     * @param fanout messages in a round
     * @param suspectAfterMs without a sign of life until a gateway is suspected
     * @param freshForMs up to which age a record counts
     */
    public GossipMembership(
            Incarnation self,
            int gateways,
            double roundIntervalMs,
            int fanout,
            double suspectAfterMs,
            double freshForMs,
            Random random) {
        if (self.gateway() < 0
                || self.gateway() >= gateways
                || gateways > MAX_GATEWAYS
                || suspectAfterMs > GossipCodec.MAX_AGE_MS) {
            throw new IllegalArgumentException(
                    "gateway "
                            + self.gateway()
                            + " of "
                            + gateways
                            + ", suspected after "
                            + suspectAfterMs
                            + " ms: expected one of at most 65536, and at most "
                            + GossipCodec.MAX_AGE_MS
                            + " ms");
        }
        this.self = self;
        this.roundIntervalMs = roundIntervalMs;
        this.fanout = fanout;
        this.freshForMs = Math.min(freshForMs, suspectAfterMs);
        this.random = random;
        this.codec = new GossipCodec(gateways, MAX_START_AHEAD_MS);
        this.peers = new PeerTable(gateways, suspectAfterMs);
        this.composer = new GossipComposer(peers.all(), fanout, suspectAfterMs);
        this.suspension = new SuspensionDetector(roundIntervalMs, suspectAfterMs);
        this.alivePeers = new int[gateways];
    }

    /** Sets the own record; to be called before each round. */
    public void setOwnRecord(GossipRecord record, double atMs) {
        advance(atMs);
        ownRecord = record;
        ownMadeMs = nowMs;
        ownEncoded = GossipCodec.encode(record, nowMs - self.start());
    }

    /** Sends a round once the interval has passed; missed rounds are not made up for. */
    public void sendRound(double atMs, Transport transport) {
        advance(atMs);
        if (atMs < nextRoundMs || ownRecord == null || fleetSize() < 2) {
            return;
        }
        nextRoundMs = Math.max(nextRoundMs + roundIntervalMs, atMs + roundIntervalMs / 2);
        composer.startRound(nowMs);
        int alive = collectAlivePeers();
        for (int i = 0; i < fanout; i++) {
            int target = chooseTarget(alive);
            byte[] message =
                    composer.compose(
                            ownEncoded,
                            nowMs - ownMadeMs,
                            target,
                            i,
                            alive,
                            transport.maxMessageBytes(),
                            nowMs);
            if (message != null) {
                transport.send(target, message);
            }
        }
    }

    private int collectAlivePeers() {
        int count = 0;
        for (int gateway = 0; gateway < fleetSize(); gateway++) {
            if (gateway != self.gateway() && isAlive(gateway)) {
                alivePeers[count++] = gateway;
            }
        }
        return count;
    }

    private int chooseTarget(int alive) {
        if (alive == 0 || random.nextInt(RANDOM_TARGET_PERIOD) == 0) {
            int gateway = random.nextInt(fleetSize() - 1);
            return gateway < self.gateway() ? gateway : gateway + 1;
        }
        return alivePeers[random.nextInt(alive)];
    }

    /** Takes in a message; one that is invalid or beyond the rate limit is dropped and counted. */
    public void receive(byte[] message, int from, double atMs) {
        advance(atMs);
        if (!incoming.tryTake(atMs)) {
            rateLimitedMessages++;
            return;
        }
        List<GossipCodec.Received> records = codec.read(message, atMs);
        if (records.isEmpty() || records.get(0).record().incarnation.gateway() != from) {
            rejectedMessages++;
            return;
        }
        for (GossipCodec.Received received : records) {
            receiveRecord(received);
        }
        for (GossipCodec.Heartbeat heartbeat : GossipCodec.readHeartbeats(message)) {
            peers.receiveHeartbeat(heartbeat, nowMs, suspension.isWakingUp(nowMs));
        }
    }

    private void receiveRecord(GossipCodec.Received received) {
        Incarnation incarnation = received.record().incarnation;
        if (incarnation.gateway() == self.gateway()) {
            replaced |= incarnation.start() > self.start();
        } else {
            peers.receiveRecord(received, nowMs, suspension);
        }
    }

    private void advance(double atMs) {
        if (suspension.advance(nowMs, atMs)) {
            peers.grantToAlive(nowMs, atMs);
        }
        nowMs = Math.max(nowMs, atMs);
    }

    @Override
    public int aliveCount() {
        int count = 0;
        for (int gateway = 0; gateway < fleetSize(); gateway++) {
            count += isAlive(gateway) ? 1 : 0;
        }
        return count;
    }

    @Override
    public boolean isAlive(int gateway) {
        return gateway == self.gateway()
                || gateway >= 0 && gateway < fleetSize() && peers.isAlive(gateway, nowMs);
    }

    @Override
    public List<Integer> aliveGateways() {
        List<Integer> alive = new ArrayList<>();
        for (int gateway = 0; gateway < fleetSize(); gateway++) {
            if (isAlive(gateway)) {
                alive.add(gateway);
            }
        }
        return alive;
    }

    @Override
    public List<GossipRecord> freshRecords() {
        List<GossipRecord> fresh = new ArrayList<>();
        for (int gateway = 0; gateway < fleetSize(); gateway++) {
            Peer peer = peers.get(gateway);
            if (gateway == self.gateway() && ownRecord != null) {
                fresh.add(ownRecord);
            } else if (peer != null && nowMs - peer.madeMs() <= freshForMs) {
                fresh.add(peer.record());
            }
        }
        return fresh;
    }

    @Override
    public int fleetSize() {
        return peers.size();
    }

    /** The present incarnation of a gateway as known; null where none was heard of. */
    public Incarnation incarnation(int gateway) {
        if (gateway == self.gateway()) {
            return self;
        }
        Peer peer = peers.get(gateway);
        return peer == null ? null : peer.incarnation();
    }

    /** The newest record of a gateway, fresh or not; null where there is none. */
    public GossipRecord newestRecord(int gateway) {
        if (gateway == self.gateway()) {
            return ownRecord;
        }
        Peer peer = peers.get(gateway);
        return peer == null ? null : peer.record();
    }

    /** Age of the newest record; infinite where there is none. */
    public double recordAgeMs(int gateway) {
        if (gateway == self.gateway()) {
            return ownRecord == null ? Double.POSITIVE_INFINITY : nowMs - ownMadeMs;
        }
        Peer peer = peers.get(gateway);
        return peer == null ? Double.POSITIVE_INFINITY : nowMs - peer.madeMs();
    }

    /** Time since the gateway was surely alive; infinite where none was heard of. */
    public double silenceMs(int gateway) {
        if (gateway == self.gateway()) {
            return 0;
        }
        Peer peer = peers.get(gateway);
        return peer == null ? Double.POSITIVE_INFINITY : nowMs - peer.aliveMs();
    }

    /** Whether a later process of the own number was heard of. */
    public boolean isReplaced() {
        return replaced;
    }

    /**
     * Messages of another version, torn, implausible, or not from the owner of their first record.
     */
    public long rejectedMessages() {
        return rejectedMessages;
    }

    /** Messages dropped by the rate limit. */
    public long rateLimitedMessages() {
        return rateLimitedMessages;
    }
}
