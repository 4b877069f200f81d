package tinford.fleet.membership;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Comparator;
import java.util.function.ToDoubleFunction;

/**
 * Composes the messages of a round: the own record, those of others by freshness and by turns
 * alternately, and heartbeats. What was told least goes first.
 */
final class GossipComposer {
    /** Heartbeats that a message holds at most: half of it. */
    private static final int MAX_HEARTBEATS = 16;

    /** Other gateways' records that a message holds at most. */
    private static final int MAX_RECORDS = 5;

    /** An incarnation is news until its records were told so often. */
    private static final int NEWS = 8;

    /** So few living peers need no room for heartbeats: their records fit. */
    private static final int FIT_AS_RECORDS = 4;

    private static final Comparator<Peer> FRESHEST =
            (a, b) ->
                    a.recordTold() != b.recordTold()
                            ? Integer.compare(a.recordTold(), b.recordTold())
                            : Double.compare(b.made(), a.made());

    /** News first, then by turns, so that no gateway is left out. */
    private static final Comparator<Peer> TURNS =
            (a, b) -> {
                int news =
                        Integer.compare(
                                Math.min(NEWS, a.incarnationTold()),
                                Math.min(NEWS, b.incarnationTold()));
                return news != 0 ? news : Double.compare(a.lastTold(), b.lastTold());
            };

    private static final Comparator<Peer> ALIVE =
            (a, b) ->
                    a.heartbeatTold() != b.heartbeatTold()
                            ? Integer.compare(a.heartbeatTold(), b.heartbeatTold())
                            : Double.compare(b.alive(), a.alive());

    private final Peer[] peers;
    private final int fanout;
    private final double suspectAfter;

    /** What this round's messages carry, the best first; null where there are fewer. */
    private final Peer[] freshest;

    private final Peer[] turns;
    private final Peer[] heartbeats;
    private long messages;

    /**
     * @param peers by number; null where none was heard of
     * @param suspectAfter records and heartbeats that are older are not told on, ms
     */
    GossipComposer(Peer[] peers, int fanout, double suspectAfter) {
        this.peers = peers;
        this.fanout = fanout;
        this.suspectAfter = suspectAfter;
        this.freshest = new Peer[fanout * MAX_RECORDS];
        this.turns = new Peer[fanout * MAX_RECORDS];
        this.heartbeats = new Peer[fanout * MAX_HEARTBEATS];
    }

    /** Before the messages of a round. */
    void choose(double now) {
        choose(freshest, FRESHEST, Peer::made, now);
        choose(turns, TURNS, Peer::made, now);
        choose(heartbeats, ALIVE, Peer::alive, now);
    }

    /**
     * The first by that order, of those whose record or heartbeat is not too old; as many as this
     * round's messages may hold.
     */
    private void choose(
            Peer[] into, Comparator<Peer> order, ToDoubleFunction<Peer> time, double now) {
        Arrays.fill(into, null);
        int chosen = 0;
        for (Peer peer : peers) {
            if (peer == null
                    || now - time.applyAsDouble(peer) > suspectAfter
                    || chosen == into.length && order.compare(peer, into[chosen - 1]) >= 0) {
                continue;
            }
            int at = chosen < into.length ? chosen++ : chosen - 1;
            for (; at > 0 && order.compare(peer, into[at - 1]) < 0; at--) {
                into[at] = into[at - 1];
            }
            into[at] = peer;
        }
    }

    /**
     * One message of the round; null where not even the own record has room.
     *
     * @param index which of the round's messages
     * @param living how many others live
     */
    byte[] compose(
            byte[] ownRaw, double ownAge, int to, int index, int living, int maxBytes, double now) {
        ByteBuffer message = GossipCodec.newMessage(maxBytes);
        if (!GossipCodec.addRecord(message, ownRaw, ownAge)) {
            return null;
        }
        messages++;
        int spare = 1 + spareHeartbeats(living) * GossipCodec.HEARTBEAT_BYTES;
        for (int i = index; i < MAX_RECORDS * fanout; i += fanout) {
            addRecord(message, turns[i], to, spare, now);
            addRecord(message, freshest[i], to, spare, now);
        }
        GossipCodec.endRecords(message);
        for (int i = index; i < heartbeats.length && heartbeats[i] != null; i += fanout) {
            addHeartbeat(message, heartbeats[i], to);
        }
        return GossipCodec.toBytes(message);
    }

    /** How many heartbeats records leave room for; fewer where there is news. */
    private int spareHeartbeats(int living) {
        boolean news = turns[0] != null && turns[0].incarnationTold() < NEWS;
        return news
                ? MAX_HEARTBEATS / 4
                : Math.max(0, Math.min(MAX_HEARTBEATS, living - FIT_AS_RECORDS));
    }

    private void addRecord(ByteBuffer message, Peer peer, int to, int spare, double now) {
        if (peer == null
                || peer.isIn(messages)
                || peer.incarnation().gateway() == to
                || message.remaining() < peer.raw().length + spare
                || !GossipCodec.addRecord(message, peer.raw(), now - peer.made())) {
            return;
        }
        peer.recordTold(messages, now);
    }

    private static void addHeartbeat(ByteBuffer message, Peer peer, int to) {
        if (peer.incarnation().gateway() != to
                && GossipCodec.addHeartbeat(
                        message, peer.incarnation(), peer.alive() - peer.start())) {
            peer.heartbeatWasTold();
        }
    }
}
