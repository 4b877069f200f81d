package tinford.fleet.membership;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Comparator;
import java.util.function.ToDoubleFunction;

/**
 * Composes the messages of a round: the own record; records of others, alternately the freshest and
 * those whose turn it is; and heartbeats. What was forwarded least comes first.
 */
final class GossipComposer {
    /** Heartbeats take at most half of a message. */
    private static final int MAX_HEARTBEATS = 16;

    /** Most records of other gateways in a message. */
    private static final int MAX_RECORDS = 5;

    /** An incarnation is new until its records were forwarded so often. */
    private static final int NEW_FORWARDS = 8;

    /** The records of so many peers fit into a message, so these need no heartbeats. */
    private static final int PEERS_WITHOUT_HEARTBEATS = 4;

    private static final Comparator<Peer> FRESHEST_FIRST =
            Comparator.comparingInt(Peer::recordForwards)
                    .thenComparing(Comparator.comparingDouble(Peer::madeMs).reversed());

    /** New incarnations first, then in turn, so that no gateway is left out. */
    private static final Comparator<Peer> IN_TURN =
            Comparator.comparingInt(
                            (Peer peer) -> Math.min(NEW_FORWARDS, peer.incarnationForwards()))
                    .thenComparingDouble(Peer::lastForwardMs);

    private static final Comparator<Peer> LATEST_ALIVE_FIRST =
            Comparator.comparingInt(Peer::heartbeatForwards)
                    .thenComparing(Comparator.comparingDouble(Peer::aliveMs).reversed());

    private final Peer[] peers;
    private final int fanout;
    private final double maxAgeMs;

    /** Candidates for this round's messages, the best first; null where there are fewer. */
    private final Peer[] freshest;

    private final Peer[] inTurn;
    private final Peer[] heartbeats;
    private long messages;

    /**
     * @param peers by number; null where none was heard of
     * @param maxAgeMs of records and heartbeats that are forwarded
     */
    GossipComposer(Peer[] peers, int fanout, double maxAgeMs) {
        this.peers = peers;
        this.fanout = fanout;
        this.maxAgeMs = maxAgeMs;
        this.freshest = new Peer[fanout * MAX_RECORDS];
        this.inTurn = new Peer[fanout * MAX_RECORDS];
        this.heartbeats = new Peer[fanout * MAX_HEARTBEATS];
    }

    /** Chooses the candidates; to be called before the messages of a round. */
    void startRound(double nowMs) {
        choose(freshest, FRESHEST_FIRST, Peer::madeMs, nowMs);
        choose(inTurn, IN_TURN, Peer::madeMs, nowMs);
        choose(heartbeats, LATEST_ALIVE_FIRST, Peer::aliveMs, nowMs);
    }

    /** Inserts those peers that are not too old, as many as there is room for, in order. */
    private void choose(
            Peer[] chosen, Comparator<Peer> order, ToDoubleFunction<Peer> time, double nowMs) {
        Arrays.fill(chosen, null);
        int count = 0;
        for (Peer peer : peers) {
            if (peer == null
                    || nowMs - time.applyAsDouble(peer) > maxAgeMs
                    || count == chosen.length && order.compare(peer, chosen[count - 1]) >= 0) {
                continue;
            }
            int index = count < chosen.length ? count++ : count - 1;
            while (index > 0 && order.compare(peer, chosen[index - 1]) < 0) {
                chosen[index] = chosen[index - 1];
                index--;
            }
            chosen[index] = peer;
        }
    }

    /**
     * Composes one message of the round.
     *
     * @param index which of the round's messages
     * @param alivePeers number of other gateways that are alive
     * @return null where there is no room for the own record
     */
    byte[] compose(
            byte[] ownRecord,
            double ownAgeMs,
            int target,
            int index,
            int alivePeers,
            int maxBytes,
            double nowMs) {
        ByteBuffer message = GossipCodec.newMessage(maxBytes);
        if (!GossipCodec.addRecord(message, ownRecord, ownAgeMs)) {
            return null;
        }
        messages++;
        int reservedBytes = 1 + reservedHeartbeats(alivePeers) * GossipCodec.HEARTBEAT_BYTES;
        for (int i = index; i < MAX_RECORDS * fanout; i += fanout) {
            addRecord(message, inTurn[i], target, reservedBytes, nowMs);
            addRecord(message, freshest[i], target, reservedBytes, nowMs);
        }
        GossipCodec.endRecords(message);
        for (int i = index; i < heartbeats.length && heartbeats[i] != null; i += fanout) {
            addHeartbeat(message, heartbeats[i], target);
        }
        return GossipCodec.toBytes(message);
    }

    /** The heartbeats for which records leave room; fewer while an incarnation is new. */
    private int reservedHeartbeats(int alivePeers) {
        boolean hasNew = inTurn[0] != null && inTurn[0].incarnationForwards() < NEW_FORWARDS;
        return hasNew
                ? MAX_HEARTBEATS / 4
                : Math.max(0, Math.min(MAX_HEARTBEATS, alivePeers - PEERS_WITHOUT_HEARTBEATS));
    }

    private void addRecord(
            ByteBuffer message, Peer peer, int target, int reservedBytes, double nowMs) {
        if (peer == null
                || peer.isIn(messages)
                || peer.incarnation().gateway() == target
                || message.remaining() < peer.encoded().length + reservedBytes) {
            return;
        }
        if (GossipCodec.addRecord(message, peer.encoded(), nowMs - peer.madeMs())) {
            peer.recordForwarded(messages, nowMs);
        }
    }

    private static void addHeartbeat(ByteBuffer message, Peer peer, int target) {
        double aliveMs = peer.aliveMs() - peer.startMs();
        if (peer.incarnation().gateway() != target
                && GossipCodec.addHeartbeat(message, peer.incarnation(), aliveMs)) {
            peer.heartbeatForwarded();
        }
    }
}
