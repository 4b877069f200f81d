package tinford.fleet.store;

import java.util.Arrays;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The logs in memory keep the contract, for many seeds of their delays. */
public class InMemoryLogsTest extends ReplicatedLogContract {
    private static final int MAX_STEPS = 2000;
    private final long seed;

    public InMemoryLogsTest() {
        this(1);
    }

    InMemoryLogsTest(long seed) {
        this.seed = seed;
    }

    @Override
    Cluster newCluster() {
        InMemoryLogs logs =
                new InMemoryLogs(
                        3, 5, 50, 200, MAX_IN_FLIGHT, SNAPSHOT_THRESHOLD, new Random(seed));
        return new Cluster() {
            private double nowMs;

            @Override
            public ReplicatedLog open(int number, ReplicatedLog.StateMachine reader) {
                return logs.open(number, reader);
            }

            @Override
            public void stop(int... numbers) {
                Arrays.stream(numbers).forEach(logs::stop);
            }

            @Override
            public void loseDisk(int number) {
                logs.loseDisk(number);
            }

            @Override
            public void cutOff(int number) {
                logs.cut(number, number % 3 + 1);
                logs.cut(number, (number + 1) % 3 + 1);
            }

            @Override
            public void heal() {
                logs.heal();
            }

            @Override
            public boolean waitUntil(BooleanSupplier condition) {
                for (int step = 0; step < MAX_STEPS; step++) {
                    if (condition.getAsBoolean()) {
                        return true;
                    }
                    logs.advance(++nowMs);
                }
                return false;
            }

            @Override
            public void close() {
                stop(1, 2, 3);
            }
        };
    }

    @DataProvider
    public Object[][] seeds() {
        return new Random(7)
                .longs(50)
                .mapToObj(drawnSeed -> new Object[] {drawnSeed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void keepsTheContractForEachSeed(long drawnSeed) throws Exception {
        new InMemoryLogsTest(drawnSeed).runAllCases();
    }
}
