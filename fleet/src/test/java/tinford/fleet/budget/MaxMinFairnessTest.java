package tinford.fleet.budget;

import static org.testng.Assert.assertEquals;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Max-min fairness against cases computed by hand, and a slow reference. */
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
            int pool, int[] weight, int[] floor, int[] cap, int[] expected) {
        assertEquals(MaxMinFairness.divide(pool, weight, floor, cap), expected);
    }

    @Test
    public void equalsAReferenceThatGivesOneAtATime() {
        Random random = new Random(7);
        for (int k = 0; k < 3000; k++) {
            int n = 1 + random.nextInt(12);
            int[][] in = new int[3][n];
            for (int i = 0; i < n; i++) {
                in[0][i] = 1 + random.nextInt(random.nextBoolean() ? 3 : 1000);
                in[1][i] = random.nextInt(6);
                in[2][i] = random.nextInt(60);
            }
            int pool = random.nextInt(300);
            assertEquals(
                    MaxMinFairness.divide(pool, in[0], in[1], in[2]),
                    divideOneByOne(pool, in[0], in[1], in[2]),
                    "history " + k);
        }
    }

    static int[] divideOneByOne(int pool, int[] weight, int[] floor, int[] cap) {
        int[] given = new int[weight.length];
        for (int p = 0; p < pool; p++) {
            int best = -1;
            boolean low = false;
            for (int i = 0; i < given.length; i++) {
                boolean below = given[i] < Math.min(floor[i], cap[i]);
                if (given[i] < cap[i]
                        && (best < 0
                                || below && !low
                                || below == low
                                        && (long) given[i] * weight[best]
                                                < (long) given[best] * weight[i])) {
                    best = i;
                    low = below;
                }
            }
            if (best >= 0) {
                given[best]++;
            }
        }
        return given;
    }

    @Test
    public void staticSharesSumExactlyAlsoWithFewerConnectionsThanGateways() {
        Random random = new Random(3);
        for (int k = 0; k < 200; k++) {
            int gateways = 1 + random.nextInt(40);
            int offer = random.nextInt(100);
            StaticShares s =
                    new StaticShares(
                            new LinkedHashMap<>(Map.of("a" + k, offer)),
                            random.nextDouble(),
                            gateways);
            int sum = 0;
            int most = 0;
            int least = 100;
            for (int g = 0; g < gateways; g++) {
                sum += s.of("a" + k, g);
                most = Math.max(most, s.of("a" + k, g));
                least = Math.min(least, s.of("a" + k, g));
            }
            assertEquals(sum, s.total("a" + k));
            assertEquals(sum <= offer && most - least <= 1, true);
        }
    }
}
