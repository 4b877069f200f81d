package tinford.fleet.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import tinford.fleet.testing.Eventually;

/** The mailbox is bounded: lossy tasks are dropped when it is full, lossless ones wait. */
public class IoThreadMailboxTest {
    private final List<Runnable> scheduled = new ArrayList<>();
    private final List<String> ran = new ArrayList<>();

    private IoThreadMailbox newMailbox(int lossyCapacity, int losslessCapacity) {
        scheduled.clear();
        ran.clear();
        return new IoThreadMailbox(lossyCapacity, losslessCapacity, scheduled::add);
    }

    private void drain() {
        List<Runnable> all = List.copyOf(scheduled);
        scheduled.clear();
        all.forEach(Runnable::run);
    }

    @Test
    public void dropsTheOldestLossyTaskAndRunsLosslessTasksFirst() throws Exception {
        IoThreadMailbox mailbox = newMailbox(2, 2);
        for (String s : List.of("a", "b", "c")) {
            mailbox.offer(() -> ran.add(s));
        }
        assertTrue(mailbox.put(() -> ran.add("1")) && mailbox.put(() -> ran.add("2")));
        assertEquals(scheduled.size(), 1, "called once for all");
        drain();
        assertEquals(ran, List.of("1", "2", "b", "c"));
        assertEquals(mailbox.dropped(), 1);
        mailbox.offer(() -> ran.add("d"));
        drain();
        assertEquals(ran.get(4), "d");
    }

    /**
     * Fills the mailbox, posts one more task on another thread, and waits until that one blocks.
     */
    private CompletableFuture<Boolean> postBeyondCapacity(IoThreadMailbox mailbox)
            throws Exception {
        assertTrue(mailbox.put(() -> ran.add("1")));
        CompletableFuture<Boolean> posted = new CompletableFuture<>();
        Thread poster =
                new Thread(
                        () -> {
                            try {
                                posted.complete(mailbox.put(() -> ran.add("2")));
                            } catch (InterruptedException e) {
                                posted.completeExceptionally(e);
                            }
                        });
        poster.setDaemon(true);
        poster.start();
        Eventually.holds(
                "the poster blocks",
                () -> poster.getState() == Thread.State.WAITING || posted.isDone());
        assertFalse(posted.isDone(), "posted although the mailbox was full");
        return posted;
    }

    @Test
    public void aLosslessTaskWaitsForRoom() throws Exception {
        IoThreadMailbox mailbox = newMailbox(1, 1);
        CompletableFuture<Boolean> posted = postBeyondCapacity(mailbox);
        drain();
        assertTrue(posted.get(20, TimeUnit.SECONDS));
        drain();
        assertEquals(ran, List.of("1", "2"));
    }

    @Test
    public void aClosedMailboxReleasesWaitingThreadsAndAcceptsNothing() throws Exception {
        IoThreadMailbox mailbox = newMailbox(1, 1);
        CompletableFuture<Boolean> posted = postBeyondCapacity(mailbox);
        mailbox.close();
        assertFalse(posted.get(20, TimeUnit.SECONDS));
        mailbox.offer(() -> ran.add("late"));
        assertFalse(mailbox.put(() -> ran.add("late")));
        drain();
        assertEquals(ran, List.of("1"));
    }
}
