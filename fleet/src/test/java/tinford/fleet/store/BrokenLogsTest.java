package tinford.fleet.store;

import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Logs that are wrong on purpose: the contract must catch each. */
public class BrokenLogsTest {
    enum Wrong {
        NONE,
        ACKNOWLEDGES_ALONE,
        LOSES_ON_LEADER_CHANGE,
        REORDERS_ON_ONE,
        STALE_LEADER_ACKNOWLEDGES
    }

    private static final class Broken extends LogContract {
        private final Wrong wrong;

        Broken(Wrong wrong) {
            this.wrong = wrong;
        }

        /** The right one in memory, but for what it opens. */
        @Override
        Cluster cluster() {
            Cluster right = new InMemoryLogsTest().cluster();
            return (Cluster)
                    Proxy.newProxyInstance(
                            getClass().getClassLoader(),
                            new Class<?>[] {Cluster.class},
                            (proxy, method, with) -> {
                                try {
                                    return method.getName().equals("open")
                                            ? opened(
                                                    right,
                                                    (int) with[0],
                                                    (ReplicatedLog.Reader) with[1])
                                            : method.invoke(right, with);
                                } catch (InvocationTargetException e) {
                                    throw e.getCause();
                                }
                            });
        }

        private ReplicatedLog opened(Cluster right, int number, ReplicatedLog.Reader reader)
                throws IOException {
            ReplicatedLog[] log = new ReplicatedLog[1];
            log[0] =
                    right.open(
                            number,
                            new ReplicatedLog.Reader() {
                                private byte[] held;
                                private boolean dropped;

                                @Override
                                public void apply(long index, byte[] entry) {
                                    if (wrong == Wrong.LOSES_ON_LEADER_CHANGE
                                            && log[0].term() > 1
                                            && !dropped) {
                                        dropped = true;
                                    } else if (wrong == Wrong.REORDERS_ON_ONE && number == 2) {
                                        if (held == null && index % 4 == 0) {
                                            held = entry;
                                            return;
                                        }
                                        reader.apply(index, entry);
                                        if (held != null) {
                                            reader.apply(index + 1, held);
                                            held = null;
                                        }
                                    } else {
                                        reader.apply(index, entry);
                                    }
                                }

                                @Override
                                public byte[] snapshot() {
                                    return reader.snapshot();
                                }

                                @Override
                                public void restore(long index, byte[] snapshot) {
                                    reader.restore(index, snapshot);
                                }
                            });
            return new ReplicatedLog() {
                @Override
                public CompletableFuture<Long> append(byte[] entry) {
                    CompletableFuture<Long> told = log[0].append(entry);
                    boolean early =
                            wrong == Wrong.ACKNOWLEDGES_ALONE
                                    || wrong == Wrong.STALE_LEADER_ACKNOWLEDGES && leads();
                    return early && !told.isDone() ? CompletableFuture.completedFuture(1L) : told;
                }

                @Override
                public boolean leads() {
                    return log[0].leads();
                }

                @Override
                public long term() {
                    return log[0].term();
                }

                @Override
                public void close() {
                    log[0].close();
                }
            };
        }
    }

    @DataProvider
    public Object[][] wrongs() {
        return Arrays.stream(Wrong.values())
                .filter(w -> w != Wrong.NONE)
                .map(w -> new Object[] {w})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "wrongs")
    public void isCaught(Wrong wrong) throws IOException {
        new Broken(Wrong.NONE).all(); // right but for the one thing
        assertThrows(Throwable.class, () -> new Broken(wrong).all());
    }
}
