package tinford.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import tinford.fleet.transport.Transport;

/**
 * Membership by gossip. In each round a gateway sends a message to a few random peers with its own
 * record and the records of other gateways that it has forwarded least often. Messages have a
 * bounded size, so the traffic of a gateway does not grow with the fleet. One record is kept per
 * gateway. Not thread-safe; times are in ms of the local wall clock.
 *
 * <p>The age of a record is the age stated by its sender plus the time since it was received. If a
 * record took longer to arrive than earlier ones of its incarnation (because it was delayed, or
 * this process was suspended), the difference is added to its age. An age is therefore too low by
 * at most the shortest recent delay, or for the first record of an incarnation by the delay of that
 * record. Clocks of two machines are never compared; only the local clock and the time since the
 * start of the record's owner, as the owner counts it, are used.
 */
public final class GossipMembership implements Membership {
    /** How far in the future, by the local clock, the start of another incarnation may lie. */
    public static final double MAX_START_AHEAD_MS = 5000;

    /**
     * Rate at which messages are accepted. In any second at most this number plus {@link
     * #MAX_MESSAGE_BURST} are.
     */
    public static final int MAX_MESSAGES_PER_SECOND = 50;

    public static final int MAX_MESSAGE_BURST = 50;

    /**
     * An earlier incarnation is accepted again once the later one has been silent for this many
     * suspicion timeouts, for instance after a failed upgrade.
     */
    public static final double FORGET_AFTER_SUSPICION_TIMEOUTS = 10;

    /**
     * On average, one message in this many goes to a random gateway, alive or not, so that the two
     * sides of a network partition find each other again once it heals.
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
    private final TokenBucket incomingLimiter =
            new TokenBucket(MAX_MESSAGE_BURST, MAX_MESSAGES_PER_SECOND);
    private final int[] alivePeers;
    private GossipRecord ownRecord;
    private byte[] ownEncodedRecord;
    private double ownCreatedMs;
    private double nowMs = Double.NEGATIVE_INFINITY;
    private double nextRoundMs = Double.NEGATIVE_INFINITY;
    private boolean replaced;
    private long rejectedMessages;
    private long rateLimitedMessages;

    /**
     * @param self this process
     * @param gateways number of configured gateways
     * @param roundIntervalMs time between two rounds
     * @param fanout number of messages sent per round
     * @param suspectAfterMs suspicion timeout: a gateway not known to have been alive for this time
     *     is suspected of having failed
     * @param freshForMs the highest age of a record that {@link #freshRecords} returns; at most the
     *     suspicion timeout is used
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
                            + " ms: expected a gateway number below the number of gateways, which"
                            + " is at most 65536, and a suspicion timeout of at most "
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

    /** Sets the record of this gateway; to be called before each round. */
    public void setOwnRecord(GossipRecord record, double atMs) {
        advance(atMs);
        ownRecord = record;
        ownCreatedMs = nowMs;
        ownEncodedRecord = GossipCodec.encode(record, nowMs - self.start());
    }

    /** Sends the messages of a round if one is due; missed rounds are not made up for. */
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
                            ownEncodedRecord,
                            nowMs - ownCreatedMs,
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

    /**
     * Processes a message; one that is invalid or exceeds the rate limit is dropped and counted.
     */
    public void receive(byte[] message, int from, double atMs) {
        advance(atMs);
        if (!incomingLimiter.tryTake(atMs)) {
            rateLimitedMessages++;
            return;
        }
        List<GossipCodec.Received> records = codec.readRecords(message, atMs);
        if (records.isEmpty() || records.get(0).record().incarnation.gateway() != from) {
            rejectedMessages++;
            return;
        }
        for (GossipCodec.Received received : records) {
            receiveRecord(received);
        }
        for (GossipCodec.Heartbeat heartbeat : GossipCodec.readHeartbeats(message)) {
            peers.receiveHeartbeat(heartbeat, nowMs, suspension.isResuming(nowMs));
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
            peers.presumeAliveAfterSuspension(nowMs, atMs);
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
            } else if (peer != null && nowMs - peer.createdMs() <= freshForMs) {
                fresh.add(peer.record());
            }
        }
        return fresh;
    }

    @Override
    public int fleetSize() {
        return peers.size();
    }

    /** The current incarnation of a gateway; null if none is known. */
    public Incarnation incarnation(int gateway) {
        if (gateway == self.gateway()) {
            return self;
        }
        Peer peer = peers.get(gateway);
        return peer == null ? null : peer.incarnation();
    }

    /** The newest record of a gateway, fresh or not; null if none is known. */
    public GossipRecord newestRecord(int gateway) {
        if (gateway == self.gateway()) {
            return ownRecord;
        }
        Peer peer = peers.get(gateway);
        return peer == null ? null : peer.record();
    }

    /** Age of the newest record of a gateway; infinite if none is known. */
    public double recordAgeMs(int gateway) {
        if (gateway == self.gateway()) {
            return ownRecord == null ? Double.POSITIVE_INFINITY : nowMs - ownCreatedMs;
        }
        Peer peer = peers.get(gateway);
        return peer == null ? Double.POSITIVE_INFINITY : nowMs - peer.createdMs();
    }

    /** Time since the gateway is known to have been alive; infinite if no record is known. */
    public double silenceMs(int gateway) {
        if (gateway == self.gateway()) {
            return 0;
        }
        Peer peer = peers.get(gateway);
        return peer == null ? Double.POSITIVE_INFINITY : nowMs - peer.lastAliveMs();
    }

    /** Whether a later incarnation of this gateway has been seen. */
    public boolean isReplaced() {
        return replaced;
    }

    /**
     * Number of messages dropped because they were truncated, implausible, of another format
     * version, or not sent by the owner of their first record.
     */
    public long rejectedMessages() {
        return rejectedMessages;
    }

    /** Number of messages dropped because they exceeded the rate limit. */
    public long rateLimitedMessages() {
        return rateLimitedMessages;
    }
}
