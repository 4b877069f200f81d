package tinford.fleet.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;

/**
 * A simulated network between the gateways of a fleet, in memory and in virtual time, for tests and
 * the lab. Runs with the same seed are identical. Messages beyond a receiver's capacity are
 * dropped, as datagrams are. Not thread-safe.
 */
public final class InMemoryNetwork {
    /**
     * The behaviour of a link in one direction.
     *
     * @param delayMs shortest delay of a message
     * @param jitterMs longest random addition to the delay, by which messages may be reordered
     * @param lossProbability probability that a message is lost
     * @param duplicateProbability probability that a message is delivered twice
     * @param lateProbability probability that a message takes {@code lateDelayMs} longer
     * @param lateDelayMs additional delay of such a message
     */
    public record Link(
            double delayMs,
            double jitterMs,
            double lossProbability,
            double duplicateProbability,
            double lateProbability,
            double lateDelayMs) {
        /** A link without loss, duplication or late messages. */
        public static Link of(double delayMs, double jitterMs) {
            return new Link(delayMs, jitterMs, 0, 0, 0, 0);
        }
    }

    /** A message in transit; messages with the same arrival time arrive in the order of sending. */
    private record InTransit(double arrivalMs, long order, int from, int to, byte[] message)
            implements Comparable<InTransit> {
        @Override
        public int compareTo(InTransit other) {
            int byArrival = Double.compare(arrivalMs, other.arrivalMs);
            return byArrival != 0 ? byArrival : Long.compare(order, other.order);
        }
    }

    private final int gateways;
    private final int maxMessageBytes;
    private final int capacityPerReceiver;
    private final Random random;
    private Link defaultLink = Link.of(1, 1);

    /** Links by sender and receiver; null where {@link #defaultLink} applies. */
    private final List<Link[]> links = new ArrayList<>();

    private final BitSet cutLinks;
    private final ProcessTransport[] processes;
    private final BitSet paused;
    private final List<Queue<InTransit>> waitingMessages = new ArrayList<>();

    /** Number of messages in transit or waiting, by receiver. */
    private final int[] inFlight;

    private final PriorityQueue<InTransit> inTransit = new PriorityQueue<>();
    private double nowMs;
    private long nextOrder;
    private long sentMessages;
    private long sentBytes;
    private long droppedMessages;
    private long receiverFailures;

    /**
     * @param gateways number of gateways; they are numbered from 0
     * @param maxMessageBytes the length of the longest message
     * @param capacityPerReceiver the largest number of messages in transit to or waiting for one
     *     receiver
     * @param seed seed of the random delays and losses
     */
    public InMemoryNetwork(int gateways, int maxMessageBytes, int capacityPerReceiver, long seed) {
        this.gateways = gateways;
        this.maxMessageBytes = maxMessageBytes;
        this.capacityPerReceiver = capacityPerReceiver;
        this.random = new Random(seed);
        this.cutLinks = new BitSet(gateways * gateways);
        this.processes = new ProcessTransport[gateways];
        this.paused = new BitSet(gateways);
        this.inFlight = new int[gateways];
        for (int i = 0; i < gateways; i++) {
            links.add(null);
            waitingMessages.add(new ArrayDeque<>());
        }
    }

    /**
     * Opens the transport of a new process of a gateway. An earlier process with the same number
     * receives no more messages but can send until it is closed. Messages in transit arrive at the
     * new process.
     */
    public Transport open(int gateway, Transport.Receiver receiver) {
        if (gateway < 0 || gateway >= gateways) {
            throw new IllegalArgumentException(
                    "gateway " + gateway + ": expected a number from 0 to " + (gateways - 1));
        }
        processes[gateway] = new ProcessTransport(gateway, receiver);
        return processes[gateway];
    }

    /** Sets the behaviour of all links that were not set individually. */
    public void setLink(Link link) {
        defaultLink = link;
    }

    /** Sets the behaviour of one link in one direction. */
    public void setLink(int from, int to, Link link) {
        if (links.get(from) == null) {
            links.set(from, new Link[gateways]);
        }
        links.get(from)[to] = link;
    }

    /** Cuts or restores a link in one direction; messages in transit still arrive. */
    public void setCut(int from, int to, boolean cut) {
        cutLinks.set(from * gateways + to, cut);
    }

    /** Cuts or restores a link in both directions. */
    public void setCutBothWays(int one, int other, boolean cut) {
        setCut(one, other, cut);
        setCut(other, one, cut);
    }

    /** Queues messages to a gateway, up to its capacity, as if its process were suspended. */
    public void pause(int gateway) {
        paused.set(gateway);
    }

    /** Resumes a paused gateway; its queued messages arrive with the next {@link #advance}. */
    public void resume(int gateway) {
        paused.clear(gateway);
        Queue<InTransit> waiting = waitingMessages.get(gateway);
        while (!waiting.isEmpty()) {
            InTransit message = waiting.remove();
            inTransit.add(
                    new InTransit(nowMs, nextOrder++, message.from, gateway, message.message));
        }
    }

    /**
     * Advances the virtual time and delivers the messages that arrive until then, in the order of
     * arrival. Receivers may send messages while they are called.
     */
    public void advance(double untilMs) {
        while (!inTransit.isEmpty() && inTransit.peek().arrivalMs <= untilMs) {
            InTransit next = inTransit.poll();
            nowMs = Math.max(nowMs, next.arrivalMs);
            arrive(next);
        }
        nowMs = Math.max(nowMs, untilMs);
    }

    private void arrive(InTransit message) {
        if (paused.get(message.to)) {
            waitingMessages.get(message.to).add(message);
            return;
        }
        inFlight[message.to]--;
        ProcessTransport process = processes[message.to];
        if (process != null && !process.closed) {
            deliver(process, message);
        }
    }

    private void deliver(ProcessTransport process, InTransit message) {
        try {
            process.receiver.receive(message.from, message.message);
        } catch (RuntimeException e) {
            receiverFailures++;
        }
    }

    private boolean send(int from, int to, byte[] message) {
        sentMessages++;
        sentBytes += message.length;
        Link link = link(from, to);
        if (cutLinks.get(from * gateways + to) || occurs(link.lossProbability)) {
            return true;
        }
        schedule(from, to, message, link);
        if (occurs(link.duplicateProbability)) {
            schedule(from, to, message, link);
        }
        return true;
    }

    private Link link(int from, int to) {
        Link[] senderLinks = links.get(from);
        return senderLinks == null || senderLinks[to] == null ? defaultLink : senderLinks[to];
    }

    /** Draws an event; takes a random number only if the probability is above 0. */
    private boolean occurs(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    private void schedule(int from, int to, byte[] message, Link link) {
        if (inFlight[to] >= capacityPerReceiver) {
            droppedMessages++;
            return;
        }
        inFlight[to]++;
        double arrivalMs =
                nowMs
                        + link.delayMs
                        + (link.jitterMs > 0 ? link.jitterMs * random.nextDouble() : 0)
                        + (occurs(link.lateProbability) ? link.lateDelayMs : 0);
        inTransit.add(new InTransit(arrivalMs, nextOrder++, from, to, message.clone()));
    }

    /** The current virtual time. */
    public double nowMs() {
        return nowMs;
    }

    /** Number of messages sent, including those that were lost. */
    public long sentMessages() {
        return sentMessages;
    }

    /** Total length of the messages sent, including those that were lost. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Number of messages dropped because the receiver's capacity was exhausted. */
    public long droppedMessages() {
        return droppedMessages;
    }

    /** Number of times a receiver threw an exception. */
    public long receiverFailures() {
        return receiverFailures;
    }

    /** The transport of one process of a gateway. */
    private final class ProcessTransport implements Transport {
        private final int number;
        private final Receiver receiver;
        private boolean closed;

        ProcessTransport(int number, Receiver receiver) {
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
                    && InMemoryNetwork.this.send(number, to, message);
        }

        @Override
        public void close() {
            closed = true;
        }
    }
}
