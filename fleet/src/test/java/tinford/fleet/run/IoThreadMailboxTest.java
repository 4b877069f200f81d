package tinford.fleet.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * What other threads bring is bounded; lossy entries go when there is no room, lossless ones wait
 * for it.
 */
public class IoThreadMailboxTest {
    private final List<Runnable> entered = new ArrayList<>();
    private final List<String> ran = new ArrayList<>();

    private IoThreadMailbox box(int lossyCapacity, int losslessCapacity) {
        entered.clear();
        ran.clear();
        return new IoThreadMailbox(lossyCapacity, losslessCapacity, entered::add);
    }

    private void drain() {
        List<Runnable> all = List.copyOf(entered);
        entered.clear();
        all.forEach(Runnable::run);
    }

    @Test
    public void theOldestLossyOneGoesAndLosslessOnesComeFirst() throws Exception {
        IoThreadMailbox box = box(2, 2);
        for (String s : List.of("a", "b", "c")) {
            box.offer(() -> ran.add(s));
        }
        assertTrue(box.put(() -> ran.add("1")) && box.put(() -> ran.add("2")));
        assertEquals(entered.size(), 1, "called once for all");
        drain();
        assertEquals(ran, List.of("1", "2", "b", "c"));
        assertEquals(box.dropped(), 1);
        box.offer(() -> ran.add("d"));
        drain();
        assertEquals(ran.get(4), "d");
    }

    /**
     * Brings one thing more than there is room for, on another thread, and waits until that one
     * stands.
     */
    private CompletableFuture<Boolean> oneTooMany(IoThreadMailbox box) throws Exception {
        assertTrue(box.put(() -> ran.add("1")));
        CompletableFuture<Boolean> taken = new CompletableFuture<>();
        Thread brings =
                new Thread(
                        () -> {
                            try {
                                taken.complete(box.put(() -> ran.add("2")));
                            } catch (InterruptedException e) {
                                taken.completeExceptionally(e);
                            }
                        });
        brings.setDaemon(true);
        brings.start();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20); // only ends a test that hangs
        while (brings.getState() != Thread.State.WAITING
                && !taken.isDone()
                && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertFalse(taken.isDone(), "it went in though there was no room");
        return taken;
    }

    @Test
    public void aLosslessOneWaitsForRoom() throws Exception {
        IoThreadMailbox box = box(1, 1);
        CompletableFuture<Boolean> taken = oneTooMany(box);
        drain();
        assertTrue(taken.get(20, TimeUnit.SECONDS));
        drain();
        assertEquals(ran, List.of("1", "2"));
    }

    @Test
    public void aClosedBoxLetsGoOfWhoWaitsAndTakesNothing() throws Exception {
        IoThreadMailbox box = box(1, 1);
        CompletableFuture<Boolean> taken = oneTooMany(box);
        box.close();
        assertFalse(taken.get(20, TimeUnit.SECONDS));
        box.offer(() -> ran.add("late"));
        assertFalse(box.put(() -> ran.add("late")));
        drain();
        assertEquals(ran, List.of("1"));
    }
}
