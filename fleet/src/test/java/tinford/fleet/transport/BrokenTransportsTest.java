package tinford.fleet.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The transport contract fails for each kind of faulty transport, and passes without a fault. */
public class BrokenTransportsTest {
    enum Fault {
        NONE,
        ALTERS,
        WRONG_SENDER,
        BLOCKS,
        UNBOUNDED,
        DELIVERS_AFTER_CLOSE,
        SENDS_AFTER_CLOSE,
        TRUNCATES,
        THROWS_FOR_UNKNOWN_NUMBER,
        STOPS_AFTER_RECEIVER_FAILURE,
        DROPS_EMPTY_MESSAGES,
        SHARES_ARRAY,
        DELIVERS_TO_CLOSED_PROCESS
    }

    /** The contract for the in-memory network with one injected fault. */
    private static final class FaultyNetworkContract extends InMemoryNetworkTest {
        private final Fault fault;
        private final Transport.Receiver[] first = new Transport.Receiver[3];
        private final boolean[] stopped = new boolean[3];

        FaultyNetworkContract(Fault fault) {
            this.fault = fault;
        }

        @Override
        void openAll() {
            Arrays.fill(first, null);
            Arrays.fill(stopped, false);
            super.openAll();
        }

        @Override
        Transport open(int gateway, Transport.Receiver receiver) {
            if (fault == Fault.UNBOUNDED && gateway == 0) {
                network = new InMemoryNetwork(3, MAX_MESSAGE_BYTES, Integer.MAX_VALUE, 7);
            }
            first[gateway] = first[gateway] == null ? receiver : first[gateway];
            Transport[] real = new Transport[1];
            Transport.Receiver faulty =
                    (from, message) -> receive(gateway, receiver, from, message);
            real[0] =
                    fault == Fault.SHARES_ARRAY
                            ? new ArraySharingTransport(network, gateway, faulty)
                            : network.open(gateway, faulty);
            return new Transport() {
                private boolean closed;

                @Override
                public int maxMessageBytes() {
                    return MAX_MESSAGE_BYTES;
                }

                @Override
                public boolean send(int to, byte[] message) {
                    if (fault == Fault.BLOCKS) {
                        pause();
                    }
                    if (fault == Fault.THROWS_FOR_UNKNOWN_NUMBER && (to < 0 || to > 2)) {
                        throw new ArrayIndexOutOfBoundsException(to);
                    }
                    byte[] sent =
                            fault == Fault.TRUNCATES && message.length > MAX_MESSAGE_BYTES
                                    ? Arrays.copyOf(message, MAX_MESSAGE_BYTES)
                                    : message;
                    if (fault == Fault.DROPS_EMPTY_MESSAGES && sent.length == 0) {
                        return true;
                    }
                    return fault == Fault.SENDS_AFTER_CLOSE && closed
                            ? true
                            : real[0].send(to, sent);
                }

                @Override
                public void close() {
                    closed = true;
                    if (fault != Fault.DELIVERS_AFTER_CLOSE) {
                        real[0].close();
                    }
                }
            };
        }

        private void receive(int gateway, Transport.Receiver receiver, int from, byte[] message) {
            if (stopped[gateway]) {
                return;
            }
            if (fault == Fault.ALTERS && message.length > 30) {
                message[30] ^= 1;
            }
            int sender =
                    fault == Fault.WRONG_SENDER && message.length > 100 ? (from + 1) % 3 : from;
            try {
                (fault == Fault.DELIVERS_TO_CLOSED_PROCESS ? first[gateway] : receiver)
                        .receive(sender, message);
            } catch (IllegalStateException e) {
                stopped[gateway] = fault == Fault.STOPS_AFTER_RECEIVER_FAILURE;
            }
        }

        private static void pause() {
            LockSupport.parkNanos(2_000_000);
        }
    }

    /** Delivers the array passed to {@code send} instead of a copy. */
    private static final class ArraySharingTransport implements Transport {
        private static byte[] last;
        private final Transport real;

        ArraySharingTransport(InMemoryNetwork net, int gateway, Receiver receiver) {
            real =
                    net.open(
                            gateway,
                            (from, message) ->
                                    receiver.receive(
                                            from,
                                            last != null && last.length == message.length
                                                    ? last
                                                    : message));
        }

        @Override
        public int maxMessageBytes() {
            return TransportContract.MAX_MESSAGE_BYTES;
        }

        @Override
        public boolean send(int to, byte[] message) {
            last = message;
            return real.send(to, message);
        }

        @Override
        public void close() {
            real.close();
        }
    }

    private static Set<String> failingTests(Fault fault) throws IllegalAccessException {
        Set<String> failing = new TreeSet<>();
        for (Method testMethod : TransportContract.class.getDeclaredMethods()) {
            if (testMethod.isAnnotationPresent(Test.class)) {
                FaultyNetworkContract contract = new FaultyNetworkContract(fault);
                try {
                    testMethod.invoke(contract);
                } catch (InvocationTargetException e) {
                    failing.add(testMethod.getName());
                } finally {
                    contract.closeAll();
                }
            }
        }
        return failing;
    }

    @DataProvider
    public static Object[][] faults() {
        return Arrays.stream(Fault.values()).map(f -> new Object[] {f}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "faults")
    public void contractDetectsEachFault(Fault fault) throws IllegalAccessException {
        Set<String> failing = failingTests(fault);
        if (fault == Fault.NONE) {
            assertEquals(failing, Set.of(), "tests failed without a fault");
        } else {
            assertTrue(!failing.isEmpty(), fault + " was not detected by any test");
        }
    }
}
