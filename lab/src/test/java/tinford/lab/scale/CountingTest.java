package tinford.lab.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.testng.annotations.Test;
import tinford.lab.scale.count.CountingClassLoader;
import tinford.lab.scale.count.OperationCounter;

/** Operations are counted in the copy of a class, alike each time, and nowhere else. */
public class CountingTest {
    /** Loops as often as it is told. */
    public static final class Loop implements IntUnaryOperator {
        @Override
        public int applyAsInt(int times) {
            int sum = 0;
            for (int i = 0; i < times; i++) {
                sum += i;
            }
            return sum;
        }
    }

    /** Searches a list for each of its elements, and a set. */
    public static final class Search implements IntUnaryOperator {
        @Override
        public int applyAsInt(int size) {
            List<Integer> list = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                list.add(i);
            }
            int found = 0;
            for (Integer element : list) {
                found += list.contains(element) ? 1 : 0;
            }
            return found + (new HashSet<>(list).contains(0) ? 1 : 0);
        }
    }

    @Test
    public void branchesAreCountedAlikeEachTime() throws Exception {
        IntUnaryOperator loop = counted(Loop.class);
        long ten = operations(loop, 10);
        assertEquals(operations(loop, 10), ten);
        long more = operations(loop, 110) - ten;
        assertEquals(more, 200, "a test at the head of the loop and a jump back, each time");
    }

    @Test
    public void searchesAndCopiesOfListsCountTheirElements() throws Exception {
        IntUnaryOperator search = counted(Search.class);
        long before = OperationCounter.elements();
        assertEquals(search.applyAsInt(100), 101);
        assertEquals(OperationCounter.elements() - before, 100 * 101 / 2 + 100 + 1);
    }

    @Test
    public void theClassItselfIsNotTouched() {
        assertEquals(operations(new Loop(), 1000), 0);
    }

    @Test
    public void otherClassesComeFromTheParent() throws Exception {
        assertSame(loader().loadClass(OperationCounter.class.getName()), OperationCounter.class);
    }

    private static long operations(IntUnaryOperator work, int size) {
        long before = OperationCounter.operations();
        work.applyAsInt(size);
        return OperationCounter.operations() - before;
    }

    private static IntUnaryOperator counted(Class<?> original) throws Exception {
        return (IntUnaryOperator)
                loader().loadClass(original.getName()).getConstructor().newInstance();
    }

    private static CountingClassLoader loader() {
        return new CountingClassLoader(
                CountingTest.class.getClassLoader(),
                List.of(CountingTest.class.getName() + "$"),
                List.of());
    }
}
