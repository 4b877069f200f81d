package tinford.fleet.store;

import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The contract of a log detects each log with a deliberate defect. */
public class BrokenLogsTest {
    enum Defect {
        NONE,
        ACKNOWLEDGES_ALONE,
        LOSES_ON_LEADER_CHANGE,
        REORDERS_ON_ONE,
        STALE_LEADER_ACKNOWLEDGES
    }

    private static final class DefectiveLogContract extends ReplicatedLogContract {
        private final Defect defect;

        DefectiveLogContract(Defect defect) {
            this.defect = defect;
        }

        /** The cluster in memory, whose logs are wrapped as they are opened. */
        @Override
        Cluster newCluster() {
            Cluster correctCluster = new InMemoryLogsTest().newCluster();
            return (Cluster)
                    Proxy.newProxyInstance(
                            getClass().getClassLoader(),
                            new Class<?>[] {Cluster.class},
                            (proxy, method, arguments) -> {
                                try {
                                    return method.getName().equals("open")
                                            ? openDefective(
                                                    correctCluster,
                                                    (int) arguments[0],
                                                    (ReplicatedLog.StateMachine) arguments[1])
                                            : method.invoke(correctCluster, arguments);
                                } catch (InvocationTargetException e) {
                                    throw e.getCause();
                                }
                            });
        }

        private ReplicatedLog openDefective(
                Cluster correctCluster, int number, ReplicatedLog.StateMachine reader)
                throws IOException {
            ReplicatedLog[] log = new ReplicatedLog[1];
            log[0] =
                    correctCluster.open(
                            number,
                            new ReplicatedLog.StateMachine() {
                                private byte[] delayed;
                                private boolean hasDropped;

                                @Override
                                public void apply(long index, byte[] entry) {
                                    if (defect == Defect.LOSES_ON_LEADER_CHANGE
                                            && log[0].term() > 1
                                            && !hasDropped) {
                                        hasDropped = true;
                                    } else if (defect == Defect.REORDERS_ON_ONE && number == 2) {
                                        if (delayed == null && index % 4 == 0) {
                                            delayed = entry;
                                            return;
                                        }
                                        reader.apply(index, entry);
                                        if (delayed != null) {
                                            reader.apply(index + 1, delayed);
                                            delayed = null;
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
                    CompletableFuture<Long> result = log[0].append(entry);
                    boolean acknowledgesEarly =
                            defect == Defect.ACKNOWLEDGES_ALONE
                                    || defect == Defect.STALE_LEADER_ACKNOWLEDGES && isLeader();
                    return acknowledgesEarly && !result.isDone()
                            ? CompletableFuture.completedFuture(1L)
                            : result;
                }

                @Override
                public boolean isLeader() {
                    return log[0].isLeader();
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
    public Object[][] defects() {
        return Arrays.stream(Defect.values())
                .filter(w -> w != Defect.NONE)
                .map(w -> new Object[] {w})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "defects")
    public void isDetected(Defect defect) throws IOException {
        new DefectiveLogContract(Defect.NONE).runAllCases(); // the wrapper itself is correct
        assertThrows(Throwable.class, () -> new DefectiveLogContract(defect).runAllCases());
    }
}
