package tinford.lab.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.fleet.membership.GossipMembership;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.transport.UdpTransport;
import tinford.lab.sockets.FreePort;

/** Gossip over real datagrams on loopback, all gateways in this process: its processor time. */
final class GossipSocketsMeasurement implements Measurement {
    private static final int MESSAGE_BYTES = 256;
    private static final int ROUNDS = 16;
    private static final double START_MS = 1000;
    private static final double SUSPECT_MS = 60_000;

    @Override
    public String name() {
        return "gossip.sockets";
    }

    @Override
    public String sizeUnit() {
        return "gateways";
    }

    @Override
    public int[] sizes(boolean full) {
        return full ? new int[] {5, 100, 400, 530} : new int[] {4, 8, 16, 32};
    }

    @Override
    public int repetitions() {
        return 3;
    }

    @Override
    public Growth expected() {
        return Growth.CONSTANT;
    }

    @Override
    public Sample measure(int gateways, UniformRandomProvider random) throws Exception {
        List<Gateway> fleet = new ArrayList<>();
        try {
            List<InetSocketAddress> peers = addresses(gateways);
            for (int number = 0; number < gateways; number++) {
                fleet.add(new Gateway(number, peers, new Random(random.nextLong())));
            }
            return play(fleet);
        } finally {
            fleet.forEach(Gateway::close);
        }
    }

    private static List<InetSocketAddress> addresses(int gateways) throws IOException {
        Set<Integer> ports = new TreeSet<>();
        while (ports.size() < gateways) {
            ports.add(FreePort.find());
        }
        InetAddress loopback = InetAddress.getLoopbackAddress();
        return ports.stream().map(port -> new InetSocketAddress(loopback, port)).toList();
    }

    /** Each gateway has its rounds at its own moment within the time between rounds. */
    private static Sample play(List<Gateway> fleet) throws InterruptedException {
        double processorBefore = ProcessorTime.processMs();
        long started = System.nanoTime();
        for (int round = 0; round < ROUNDS; round++) {
            for (int number = 0; number < fleet.size(); number++) {
                double offsetMs = Math.floor(GossipFleet.ROUND_MS * number / fleet.size());
                double atMs = GossipFleet.ROUND_MS * round + offsetMs;
                sleepUntil(started, atMs);
                fleet.get(number).round(START_MS + atMs);
            }
        }
        double processorMs = ProcessorTime.processMs() - processorBefore;
        double elapsedMs = (System.nanoTime() - started) / 1e6;
        long sent = (long) GossipFleet.FANOUT * ROUNDS * fleet.size();
        long taken = fleet.stream().mapToLong(gateway -> gateway.taken).sum();
        return new Sample(
                Map.of("messages_per_gateway", (double) sent / fleet.size()),
                Map.of(
                        "taken_share",
                        (double) taken / sent,
                        "processor_us_per_message",
                        1000 * processorMs / sent,
                        "core_share_per_gateway",
                        processorMs / elapsedMs / fleet.size()));
    }

    private static void sleepUntil(long startedNanos, double atMs) throws InterruptedException {
        long left = startedNanos + (long) (atMs * 1e6) - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }

    /** Members that take what has come once a round, on the thread that plays all of them. */
    private static final class Gateway implements AutoCloseable {
        private record Message(int from, byte[] bytes) {}

        private final ConcurrentLinkedQueue<Message> inbox = new ConcurrentLinkedQueue<>();
        private final Incarnation incarnation;
        private final GossipMembership members;
        private final UdpTransport transport;
        private int sequence;
        private long taken;

        Gateway(int number, List<InetSocketAddress> peers, Random chance) throws IOException {
            incarnation = new Incarnation(number, 0);
            members =
                    new GossipMembership(
                            incarnation,
                            peers.size(),
                            GossipFleet.ROUND_MS,
                            GossipFleet.FANOUT,
                            SUSPECT_MS,
                            SUSPECT_MS,
                            chance);
            transport =
                    new UdpTransport(
                            number,
                            peers.get(number),
                            peers,
                            MESSAGE_BYTES,
                            (from, message) -> inbox.add(new Message(from, message)));
        }

        void round(double now) {
            for (Message message; (message = inbox.poll()) != null; ) {
                members.receive(message.bytes(), message.from(), now);
                taken++;
            }
            members.setOwnRecord(GossipFleet.record(incarnation, sequence++), now);
            members.sendRound(now, transport);
        }

        @Override
        public void close() {
            transport.close();
        }
    }
}
