package tinford.fleet.transport;

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
public final class InMemoryTransport {
    /**
     * How messages fare on a link in one direction, ms and chances.
     *
     * @param jitter up to so much is added by chance to the delay, so that messages overtake each
     *     other
     * @param late chance that a message takes {@code lateBy} longer
     */
    public record Link(
            double delay, double jitter, double loss, double twice, double late, double lateBy) {
        public static Link of(double delay, double jitter) {
            return new Link(delay, jitter, 0, 0, 0, 0);
        }
    }

    private InMemoryTransport() {}

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
        private final int maxMessageBytes;
        private final int room;
        private final Random chance;
        private Link link = Link.of(1, 1);
        private final List<Link[]> links = new ArrayList<>();
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

        public Network(int gateways, int maxMessageBytes, int room, long seed) {
            this.gateways = gateways;
            this.maxMessageBytes = maxMessageBytes;
            this.room = room;
            this.chance = new Random(seed);
            this.cut = new BitSet(gateways * gateways);
            this.ends = new End[gateways];
            this.paused = new BitSet(gateways);
            this.held = new int[gateways];
            for (int i = 0; i < gateways; i++) {
                links.add(null);
                waiting.add(new ArrayDeque<>());
            }
        }

        /**
         * A process of that gateway. An earlier process of the same number takes no more, but may
         * send until it is closed; what was under way to or from it still arrives.
         */
        public Transport at(int gateway, Transport.Receiver receiver) {
            if (gateway < 0 || gateway >= gateways) {
                throw new IllegalArgumentException(
                        "gateway " + gateway + ": expected 0 to " + (gateways - 1));
            }
            ends[gateway] = new End(gateway, receiver);
            return ends[gateway];
        }

        /** All links that have none of their own. */
        public void link(Link all) {
            link = all;
        }

        public void link(int from, int to, Link one) {
            if (links.get(from) == null) {
                links.set(from, new Link[gateways]);
            }
            links.get(from)[to] = one;
        }

        /** One direction only; what is under way still arrives. */
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

        /** Hands out in order of arrival what is due by then; receivers may send meanwhile. */
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
                end.receiver.receive(one.from, one.message);
            } catch (RuntimeException e) {
                thrown++;
            }
        }

        private void carry(int from, int to, byte[] message, Link link) {
            if (held[to] >= room) {
                dropped++;
                return;
            }
            held[to]++;
            double due =
                    now
                            + link.delay
                            + (link.jitter > 0 ? link.jitter * chance.nextDouble() : 0)
                            + (link.late > 0 && chance.nextDouble() < link.late ? link.lateBy : 0);
            under.add(new Sent(due, order++, from, to, message.clone()));
        }

        private boolean send(int from, int to, byte[] message) {
            sent++;
            bytes += message.length;
            Link here =
                    links.get(from) == null || links.get(from)[to] == null
                            ? link
                            : links.get(from)[to];
            if (cut.get(from * gateways + to) || here.loss > 0 && chance.nextDouble() < here.loss) {
                return true;
            }
            carry(from, to, message, here);
            if (here.twice > 0 && chance.nextDouble() < here.twice) {
                carry(from, to, message, here);
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

        /** How often a receiver threw. */
        public long thrown() {
            return thrown;
        }

        private final class End implements Transport {
            private final int number;
            private final Receiver receiver;
            private boolean closed;

            End(int number, Receiver receiver) {
                this.number = number;
                this.receiver = receiver;
            }

            @Override
            public int maxMessageBytes() {
                return maxMessageBytes;
            }

            @Override
            public boolean send(int to, byte[] message) {
                return !closed
                        && to >= 0
                        && to < gateways
                        && message.length <= maxMessageBytes
                        && Network.this.send(number, to, message);
            }

            @Override
            public void close() {
                closed = true;
            }
        }
    }
}
