package tinford.fleet.store;

import java.util.Arrays;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The logs in memory keep the contract, under other delays each time. */
public class InMemoryLogsTest extends LogContract {
    private final long seed;

    public InMemoryLogsTest() {
        this(1);
    }

    InMemoryLogsTest(long seed) {
        this.seed = seed;
    }

    @Override
    Cluster cluster() {
        InMemoryLogs logs = new InMemoryLogs(3, 5, 50, 200, IN_FLIGHT, SNAPSHOT, new Random(seed));
        return new Cluster() {
            private double now;

            @Override
            public ReplicatedLog open(int number, ReplicatedLog.Reader reader) {
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
            public boolean until(BooleanSupplier what) {
                for (int i = 0; i < 2000; i++) {
                    if (what.getAsBoolean()) {
                        return true;
                    }
                    logs.advance(++now);
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
                .mapToObj(each -> new Object[] {each})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void underDrawnDelays(long drawn) throws Exception {
        new InMemoryLogsTest(drawn).all();
    }
}
