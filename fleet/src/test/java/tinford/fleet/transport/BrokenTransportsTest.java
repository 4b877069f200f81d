package tinford.fleet.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The contract catches transports that are broken on purpose, and passes the one that they are made
 * of.
 */
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
        THROWS_TO_NOBODY,
        DIES_OF_TAKER,
        DROPS_EMPTY,
        KEEPS_ARRAY,
        OLD_PROCESS_TAKES
    }

    /** The network in memory with one fault. */
    private static final class Broken extends InMemoryTransportTest {
        private final Fault fault;
        private final Transport.Receiver[] first = new Transport.Receiver[3];
        private final boolean[] dead = new boolean[3];

        Broken(Fault fault) {
            this.fault = fault;
        }

        @Override
        void begin() {
            Arrays.fill(first, null);
            Arrays.fill(dead, false);
            super.begin();
        }

        @Override
        Transport open(int gateway, Transport.Receiver receiver) {
            if (fault == Fault.UNBOUNDED && gateway == 0) {
                net = new InMemoryTransport.Network(3, MOST, Integer.MAX_VALUE, 7);
            }
            first[gateway] = first[gateway] == null ? receiver : first[gateway];
            Transport[] real = new Transport[1];
            Transport.Receiver taken = (from, message) -> take(gateway, receiver, from, message);
            real[0] =
                    fault == Fault.KEEPS_ARRAY
                            ? new Sharing(net, gateway, taken)
                            : net.at(gateway, taken);
            return new Transport() {
                private boolean closed;

                @Override
                public int maxMessageBytes() {
                    return MOST;
                }

                @Override
                public boolean send(int to, byte[] message) {
                    if (fault == Fault.BLOCKS) {
                        pause();
                    }
                    if (fault == Fault.THROWS_TO_NOBODY && (to < 0 || to > 2)) {
                        throw new ArrayIndexOutOfBoundsException(to);
                    }
                    byte[] m =
                            fault == Fault.TRUNCATES && message.length > MOST
                                    ? Arrays.copyOf(message, MOST)
                                    : message;
                    if (fault == Fault.DROPS_EMPTY && m.length == 0) {
                        return true;
                    }
                    return fault == Fault.SENDS_AFTER_CLOSE && closed ? true : real[0].send(to, m);
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

        private void take(int gateway, Transport.Receiver receiver, int from, byte[] message) {
            if (dead[gateway]) {
                return;
            }
            if (fault == Fault.ALTERS && message.length > 30) {
                message[30] ^= 1;
            }
            int told = fault == Fault.WRONG_SENDER && message.length > 100 ? (from + 1) % 3 : from;
            try {
                (fault == Fault.OLD_PROCESS_TAKES ? first[gateway] : receiver)
                        .receive(told, message);
            } catch (IllegalStateException e) {
                dead[gateway] = fault == Fault.DIES_OF_TAKER;
            }
        }

        private static void pause() {
            java.util.concurrent.locks.LockSupport.parkNanos(2_000_000);
        }
    }

    /** Hands on the sender's own array, at the next {@code advance}. */
    private static final class Sharing implements Transport {
        private static byte[] last;
        private final Transport real;

        Sharing(InMemoryTransport.Network net, int gateway, Receiver receiver) {
            real =
                    net.at(
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
            return TransportContract.MOST;
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

    private static Set<String> failing(Fault fault) throws IllegalAccessException {
        Set<String> failing = new TreeSet<>();
        for (Method one : TransportContract.class.getDeclaredMethods()) {
            if (one.isAnnotationPresent(Test.class)) {
                Broken broken = new Broken(fault);
                try {
                    one.invoke(broken);
                } catch (InvocationTargetException e) {
                    failing.add(one.getName());
                } finally {
                    broken.end();
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
    public void eachIsCaught(Fault fault) throws IllegalAccessException {
        Set<String> failing = failing(fault);
        if (fault == Fault.NONE) {
            assertEquals(failing, Set.of(), "caught though whole");
        } else {
            assertTrue(!failing.isEmpty(), fault + " was not caught");
        }
    }
}
