package tinford.fleet.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;

/**
 * A network between the gateways of a fleet, in memory and in virtual time, for tests and the lab:
 * the same seed gives the same run. Messages beyond a receiver's capacity are dropped, as with
 * datagrams. Not thread-safe.
 */
public final class InMemoryNetwork {
    /**
     * The behaviour of a link in one direction.
     *
     * @param delayMs shortest delay of a message
     * @param jitterMs longest random addition to the delay, by which messages may be reordered
     * @param lossProbability that a message is lost
     * @param duplicateProbability that a message is delivered twice
     * @param lateProbability that a message takes {@code lateDelayMs} longer
     */
    public record Link(
            double delayMs,
            double jitterMs,
            double lossProbability,
            double duplicateProbability,
            double lateProbability,
            double lateDelayMs) {
        /** A link that loses, duplicates and delays no message. */
        public static Link of(double delayMs, double jitterMs) {
            return new Link(delayMs, jitterMs, 0, 0, 0, 0);
        }
    }

    /** A message on its way; of two with the same arrival time the one that was sent first wins. */
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

    /** By sender and receiver; null where the default applies. */
    private final List<Link[]> links = new ArrayList<>();

    private final BitSet cutLinks;
    private final Process[] processes;
    private final BitSet paused;
    private final List<Queue<InTransit>> waitingMessages = new ArrayList<>();

    /** By receiver, how many messages are in transit or waiting. */
    private final int[] inFlight;

    private final PriorityQueue<InTransit> inTransit = new PriorityQueue<>();
    private double nowMs;
    private long nextOrder;
    private long sentMessages;
    private long sentBytes;
    private long droppedMessages;
    private long receiverFailures;

    /**
     * @param gateways their number; they are numbered from 0
     * @param capacityPerReceiver messages in transit to or waiting for one receiver, at most
     */
    public InMemoryNetwork(int gateways, int maxMessageBytes, int capacityPerReceiver, long seed) {
        this.gateways = gateways;
        this.maxMessageBytes = maxMessageBytes;
        this.capacityPerReceiver = capacityPerReceiver;
        this.random = new Random(seed);
        this.cutLinks = new BitSet(gateways * gateways);
        this.processes = new Process[gateways];
        this.paused = new BitSet(gateways);
        this.inFlight = new int[gateways];
        for (int i = 0; i < gateways; i++) {
            links.add(null);
            waitingMessages.add(new ArrayDeque<>());
        }
    }

    /**
     * The transport of a new process of a gateway. An earlier process of the same number receives
     * no more messages but may send until it is closed. Messages in transit still arrive.
     */
    public Transport open(int gateway, Transport.Receiver receiver) {
        if (gateway < 0 || gateway >= gateways) {
            throw new IllegalArgumentException(
                    "gateway " + gateway + ": expected 0 to " + (gateways - 1));
        }
        processes[gateway] = new Process(gateway, receiver);
        return processes[gateway];
    }

    /** Sets the behaviour of all links that have none of their own. */
    public void setLink(Link all) {
        defaultLink = all;
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

    /** Lets messages to a gateway wait, as for a suspended process, within its capacity. */
    public void pause(int gateway) {
        paused.set(gateway);
    }

    /** Messages that have waited arrive with the next {@link #advance}. */
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
     * Advances the time and delivers what arrives until then, in the order of arrival. Receivers
     * may send messages meanwhile.
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
        Process process = processes[message.to];
        if (process != null && !process.closed) {
            deliver(process, message);
        }
    }

    private void deliver(Process process, InTransit message) {
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
        Link[] ofSender = links.get(from);
        return ofSender == null || ofSender[to] == null ? defaultLink : ofSender[to];
    }

    /** Draws a random number only for a probability above 0. */
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

    /** The virtual time. */
    public double nowMs() {
        return nowMs;
    }

    /** Messages sent, lost ones included. */
    public long sentMessages() {
        return sentMessages;
    }

    /** Bytes of the messages sent. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Messages dropped because the receiver's capacity was exhausted. */
    public long droppedMessages() {
        return droppedMessages;
    }

    /** How often a receiver threw an exception. */
    public long receiverFailures() {
        return receiverFailures;
    }

    /** A gateway's process, from its start to its end. */
    private final class Process implements Transport {
        private final int number;
        private final Receiver receiver;
        private boolean closed;

        Process(int number, Receiver receiver) {
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
