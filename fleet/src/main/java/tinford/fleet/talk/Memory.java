package tinford.fleet.talk;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A fleet's messages in memory and in virtual time, for tests and the lab: the same seed gives the
 * same run. Holds at most {@code room} messages a receiver, under way and waiting; what is beyond
 * is lost, as with datagrams.
 */
public final class Memory {
    /**
     * How messages fare on one way, ms and chances.
     *
     * @param jitter up to so much is added by chance to the delay, so that messages overtake each
     *     other
     * @param late chance that a message takes {@code lateBy} longer
     */
    public record Way(
            double delay, double jitter, double loss, double twice, double late, double lateBy) {
        public static Way of(double delay, double jitter) {
            return new Way(delay, jitter, 0, 0, 0, 0);
        }
    }

    private Memory() {}

    private record Sent(double due, long order, int from, int to, byte[] message)
            implements Comparable<Sent> {
        @Override
        public int compareTo(Sent other) {
            int c = Double.compare(due, other.due);
            return c != 0 ? c : Long.compare(order, other.order);
        }
    }

    /** The network: every gateway's place in it, and what is wrong with it at the moment. */
    public static final class Network {
        private final int gateways;
        private final int most;
        private final int room;
        private final Random chance;
        private Way way = Way.of(1, 1);
        private final List<Way[]> ways = new ArrayList<>();
        private final BitSet cut;
        private final End[] ends;
        private final BitSet paused;
        private final List<ArrayDeque<Sent>> waiting = new ArrayList<>();
        private final int[] held;
        private final PriorityQueue<Sent> under = new PriorityQueue<>();
        private double now;
        private long order;
        private long sent;
        private long bytes;
        private long dropped;
        private long thrown;

        public Network(int gateways, int most, int room, long seed) {
            this.gateways = gateways;
            this.most = most;
            this.room = room;
            this.chance = new Random(seed);
            this.cut = new BitSet(gateways * gateways);
            this.ends = new End[gateways];
            this.paused = new BitSet(gateways);
            this.held = new int[gateways];
            for (int i = 0; i < gateways; i++) {
                ways.add(null);
                waiting.add(new ArrayDeque<>());
            }
        }

        /**
         * A process of that gateway. An earlier process of the same number takes no more, but may
         * send until it is closed; what was under way to or from it still arrives.
         */
        public Talk at(int gateway, Talk.Taker taker) {
            if (gateway < 0 || gateway >= gateways) {
                throw new IllegalArgumentException(
                        "gateway " + gateway + ": expected 0 to " + (gateways - 1));
            }
            ends[gateway] = new End(gateway, taker);
            return ends[gateway];
        }

        /** All ways that have none of their own. */
        public void way(Way all) {
            way = all;
        }

        public void way(int from, int to, Way one) {
            if (ways.get(from) == null) {
                ways.set(from, new Way[gateways]);
            }
            ways.get(from)[to] = one;
        }

        /** One way only; what is under way still arrives. */
        public void cut(int from, int to, boolean on) {
            cut.set(from * gateways + to, on);
        }

        public void cutBoth(int a, int b, boolean on) {
            cut(a, b, on);
            cut(b, a, on);
        }

        /** Messages to a gateway that is stopped, or takes none, wait for it within its room. */
        public void pause(int gateway) {
            paused.set(gateway);
        }

        /** What waited is taken at the next {@link #advance}. */
        public void resume(int gateway) {
            paused.clear(gateway);
            for (Sent one; (one = waiting.get(gateway).poll()) != null; ) {
                under.add(new Sent(now, order++, one.from, gateway, one.message));
            }
        }

        /** Hands out in order of arrival what is due by then; takers may send meanwhile. */
        public void advance(double to) {
            for (Sent one; (one = under.peek()) != null && one.due <= to; ) {
                under.poll();
                now = Math.max(now, one.due);
                if (paused.get(one.to)) {
                    waiting.get(one.to).add(one);
                    continue;
                }
                held[one.to]--;
                End end = ends[one.to];
                if (end != null && !end.closed) {
                    hand(end, one);
                }
            }
            now = Math.max(now, to);
        }

        private void hand(End end, Sent one) {
            try {
                end.taker.take(one.from, one.message);
            } catch (RuntimeException e) {
                thrown++;
            }
        }

        private void carry(int from, int to, byte[] message, Way w) {
            if (held[to] >= room) {
                dropped++;
                return;
            }
            held[to]++;
            double due =
                    now
                            + w.delay
                            + (w.jitter > 0 ? w.jitter * chance.nextDouble() : 0)
                            + (w.late > 0 && chance.nextDouble() < w.late ? w.lateBy : 0);
            under.add(new Sent(due, order++, from, to, message.clone()));
        }

        private boolean send(int from, int to, byte[] message) {
            sent++;
            bytes += message.length;
            Way w = ways.get(from) == null || ways.get(from)[to] == null ? way : ways.get(from)[to];
            if (cut.get(from * gateways + to) || w.loss > 0 && chance.nextDouble() < w.loss) {
                return true;
            }
            carry(from, to, message, w);
            if (w.twice > 0 && chance.nextDouble() < w.twice) {
                carry(from, to, message, w);
            }
            return true;
        }

        public double now() {
            return now;
        }

        public long sent() {
            return sent;
        }

        public long bytes() {
            return bytes;
        }

        /** Lost because the receiver's room was full. */
        public long dropped() {
            return dropped;
        }

        /** How often a taker threw. */
        public long thrown() {
            return thrown;
        }

        private final class End implements Talk {
            private final int number;
            private final Taker taker;
            private boolean closed;

            End(int number, Taker taker) {
                this.number = number;
                this.taker = taker;
            }

            @Override
            public int most() {
                return most;
            }

            @Override
            public boolean send(int to, byte[] message) {
                return !closed
                        && to >= 0
                        && to < gateways
                        && message.length <= most
                        && Network.this.send(number, to, message);
            }

            @Override
            public void close() {
                closed = true;
            }
        }
    }
}
