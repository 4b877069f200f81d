package tinford.fleet.budget;

import static org.testng.Assert.assertEquals;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Max-min fairness against results computed by hand and by a slow reference implementation. */
public class MaxMinFairnessTest {
    @DataProvider
    public Object[][] cases() {
        return new Object[][] {
            {10, new int[] {1, 1}, new int[] {0, 0}, new int[] {3, 99}, new int[] {3, 7}},
            {10, new int[] {1, 4}, new int[] {0, 0}, new int[] {99, 99}, new int[] {2, 8}},
            {10, new int[] {1, 9}, new int[] {4, 0}, new int[] {99, 99}, new int[] {4, 6}},
            {3, new int[] {1, 1, 1}, new int[] {2, 2, 2}, new int[] {9, 9, 9}, new int[] {1, 1, 1}},
            {2, new int[] {1, 1, 1}, new int[] {0, 0, 0}, new int[] {9, 9, 9}, new int[] {1, 1, 0}},
            {9, new int[] {1, 1}, new int[] {5, 0}, new int[] {2, 3}, new int[] {2, 3}},
            {0, new int[] {1}, new int[] {1}, new int[] {1}, new int[] {0}},
            {-4, new int[] {1}, new int[] {1}, new int[] {1}, new int[] {0}},
            {5, new int[0], new int[0], new int[0], new int[0]},
        };
    }

    @Test(dataProvider = "cases")
    public void dividesByHandComputedCases(
            int pool, int[] weights, int[] minimumShares, int[] caps, int[] expected) {
        assertEquals(MaxMinFairness.divide(pool, weights, minimumShares, caps), expected);
    }

    @Test
    public void equalsAReferenceThatGivesOneAtATime() {
        Random random = new Random(7);
        for (int number = 0; number < 3000; number++) {
            int size = 1 + random.nextInt(12);
            int[][] inputs = new int[3][size];
            for (int i = 0; i < size; i++) {
                inputs[0][i] = 1 + random.nextInt(random.nextBoolean() ? 3 : 1000);
                inputs[1][i] = random.nextInt(6);
                inputs[2][i] = random.nextInt(60);
            }
            int pool = random.nextInt(300);
            assertEquals(
                    MaxMinFairness.divide(pool, inputs[0], inputs[1], inputs[2]),
                    divideOneByOne(pool, inputs[0], inputs[1], inputs[2]),
                    "case " + number);
        }
    }

    static int[] divideOneByOne(int pool, int[] weights, int[] minimumShares, int[] caps) {
        int[] allocated = new int[weights.length];
        for (int connection = 0; connection < pool; connection++) {
            int best = -1;
            boolean bestIsBelowMinimum = false;
            for (int i = 0; i < allocated.length; i++) {
                boolean belowMinimum = allocated[i] < Math.min(minimumShares[i], caps[i]);
                if (allocated[i] < caps[i]
                        && (best < 0
                                || belowMinimum && !bestIsBelowMinimum
                                || belowMinimum == bestIsBelowMinimum
                                        && (long) allocated[i] * weights[best]
                                                < (long) allocated[best] * weights[i])) {
                    best = i;
                    bestIsBelowMinimum = belowMinimum;
                }
            }
            if (best >= 0) {
                allocated[best]++;
            }
        }
        return allocated;
    }

    @Test
    public void staticSharesSumExactlyAlsoWithFewerConnectionsThanGateways() {
        Random random = new Random(3);
        for (int number = 0; number < 200; number++) {
            int gateways = 1 + random.nextInt(40);
            int capacity = random.nextInt(100);
            StaticShares shares =
                    new StaticShares(
                            new LinkedHashMap<>(Map.of("a" + number, capacity)),
                            random.nextDouble(),
                            gateways);
            int sum = 0;
            int highest = 0;
            int lowest = 100;
            for (int gateway = 0; gateway < gateways; gateway++) {
                sum += shares.of("a" + number, gateway);
                highest = Math.max(highest, shares.of("a" + number, gateway));
                lowest = Math.min(lowest, shares.of("a" + number, gateway));
            }
            assertEquals(sum, shares.total("a" + number));
            assertEquals(sum <= capacity && highest - lowest <= 1, true);
        }
    }
}
