package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Compares the map with a {@link java.util.TreeMap}. */
public class SortedArrayMapTest {
    private static final int SEEDS = 200;

    @Test
    public void randomEditsMatchATreeMap() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            SortedArrayMap<Integer, String> map = SortedArrayMap.empty();
            TreeMap<Integer, String> model = new TreeMap<>();
            for (int step = 0; step < 30; step++) {
                TreeMap<Integer, String> edits = drawEdits(random);
                SortedArrayMap<Integer, String> before = map;
                List<Integer> keysBefore = new ArrayList<>(before.keySet());
                map = map.with(edits);
                edits.forEach((key, value) -> model.compute(key, (k, old) -> value));
                assertEquals(map, model, "seed " + seed);
                assertEquals(new ArrayList<>(map.keySet()), new ArrayList<>(model.keySet()));
                assertEquals(
                        new ArrayList<>(before.keySet()),
                        keysBefore,
                        "an earlier map was modified");
                for (int key = -1; key < 21; key++) {
                    assertEquals(map.get(key), model.get(key));
                    assertEquals(map.containsKey(key), model.containsKey(key));
                }
            }
        }
    }

    @Test
    public void noEditsReturnTheSameMap() {
        SortedArrayMap<String, Integer> map = SortedArrayMap.of(List.of(3, 1, 2), i -> "k" + i);
        assertSame(map.with(new TreeMap<>()), map);
    }

    @Test
    public void isImmutable() {
        SortedArrayMap<String, Integer> map = SortedArrayMap.of(List.of(3, 1, 2), i -> "k" + i);
        assertEquals(new ArrayList<>(map.values()), List.of(1, 2, 3));
        assertNull(map.get("k4"));
        assertTrue(map.containsKey("k1"));
        assertFalse(map.containsKey("k"));
        assertThrows(UnsupportedOperationException.class, () -> map.put("k5", 5));
        assertThrows(UnsupportedOperationException.class, () -> map.remove("k1"));
        assertThrows(UnsupportedOperationException.class, map::clear);
    }

    private static TreeMap<Integer, String> drawEdits(Random random) {
        TreeMap<Integer, String> edits = new TreeMap<>();
        int count = random.nextInt(5);
        for (int i = 0; i < count; i++) {
            String value = random.nextInt(3) == 0 ? null : "v" + random.nextInt(100);
            edits.put(random.nextInt(20), value);
        }
        return edits;
    }
}
