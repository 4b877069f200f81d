package tinford.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.function.IntFunction;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Discovery is down in every way that there is, and back at every instant: what it has then is
 * acted on within 6 s of its return, whatever the calls before went like. The sums that bound it
 * are those of docs/standing.md.
 */
public class WatchOutageTest extends WatchBed {
    private static final int WAIT = 750; // the longest between a call that has ended and the next
    private static final int UNHEARD = 2000 + WAIT; // from a call that nothing comes of to the next
    private static final int SILENT_MIDWAY =
            2600 + 300; // from the last line of one that spoke to the next
    private static final int OWN = 400; // what an answer may take besides
    private static final String[] HALF = {
        "0", HEAD + Integer.toHexString(DROPS.length()) + "\r\n" + DROPS.substring(0, 40)
    };
    private static final String[] GARBAGE = {"0", HEAD + chunk("{]\n"), "0", "end"};
    private static final String[] GARBAGE_LATER = {
        "0", HEAD + chunk("{\"seq\":4"), "1200", chunk("]\n"), "1200", "end"
    };
    private static final String[] NO_HEAD = {"0", "end"};
    private static final String[] ONLY_HEAD = {"0", HEAD, "0", "end"};
    private static final String[] RESET = {"0", "reset"};
    private static final String[] RESET_LATER = {"0", HEAD, "700", "reset"};
    private static final String[] CUT = {"0", HALF[1], "300", "end"};

    private enum Down {
        REFUSED,
        FULL,
        NO_ROOM,
        SAYS
    }

    /**
     * How it is down; what it says to each call then, in turn; a connect time-out; the longest sum,
     * without the call's own time.
     */
    @DataProvider
    public Object[][] outages() {
        return new Object[][] {
            {"refused", Down.REFUSED, 250, WAIT, new String[][] {SILENT}},
            {"never comes up", Down.FULL, 250, 250 + WAIT, new String[][] {SILENT}},
            {
                "never comes up, a long connect time-out",
                Down.FULL,
                5000,
                UNHEARD,
                new String[][] {SILENT}
            },
            {"no descriptor", Down.NO_ROOM, 250, WAIT, new String[][] {SILENT}},
            {"accepted and silent", Down.SAYS, 250, UNHEARD, new String[][] {SILENT}},
            {"503", Down.SAYS, 250, WAIT, new String[][] {FAILING}},
            {"closed before the head", Down.SAYS, 250, WAIT, new String[][] {NO_HEAD}},
            {"closed behind the head", Down.SAYS, 250, WAIT, new String[][] {ONLY_HEAD}},
            {"reset", Down.SAYS, 250, WAIT, new String[][] {RESET}},
            {"head and reset later", Down.SAYS, 250, 700 + WAIT, new String[][] {RESET_LATER}},
            {"head then nothing", Down.SAYS, 250, UNHEARD, new String[][] {{"0", HEAD}}},
            {"half a line", Down.SAYS, 250, UNHEARD, new String[][] {HALF}},
            {"half a line, then the end", Down.SAYS, 250, 300 + WAIT, new String[][] {CUT}},
            {
                "bytes that make no line",
                Down.SAYS,
                250,
                UNHEARD,
                new String[][] {trickle(HEAD, "{\"x\":3,")}
            },
            {"a line that can't be read", Down.SAYS, 250, WAIT, new String[][] {GARBAGE}},
            {
                "a line that can't be read, late",
                Down.SAYS,
                250,
                1200 + WAIT,
                new String[][] {GARBAGE_LATER}
            },
            {
                "in all ways",
                Down.SAYS,
                250,
                UNHEARD,
                new String[][] {
                    FAILING,
                    SILENT,
                    RESET,
                    {"0", HEAD},
                    GARBAGE,
                    HALF,
                    NO_HEAD,
                    trickle(HEAD, " "),
                    RESET_LATER,
                    GARBAGE_LATER
                }
            },
        };
    }

    /**
     * From the first call on; in mid-life, at three instants between two lines, its connection
     * silent or reset then.
     */
    @Test(dataProvider = "outages")
    public void theReturnIsHeardInTime(
            String name, Down down, int connect, int sum, String[][] says) throws Exception {
        int worst = 0;
        for (int seed = 1; seed <= 3; seed++) {
            for (int length = 150 * seed; length <= 7000; length += 1400) {
                worst = Math.max(worst, returned(down, connect, says, 0, false, length, 0, seed));
            }
        }
        int spoke = 0;
        for (int seed = 1; seed <= 4; seed++) {
            for (int length = 150 * seed; length <= 6000; length += 3000) {
                spoke =
                        Math.max(
                                spoke,
                                returned(
                                        down,
                                        connect,
                                        says,
                                        4050 + 600 * (seed - 1),
                                        seed % 2 == 0,
                                        length,
                                        0,
                                        seed));
            }
        }
        Reporter.log(name + ": at most " + worst + " ms, in mid-life " + spoke, true);
        assertTrue(worst <= sum + OWN + STEP, name + ": " + worst);
        assertTrue(
                spoke <= Math.max(sum, SILENT_MIDWAY) + OWN + STEP,
                name + " in mid-life: " + spoke);
        assertTrue(Math.max(sum, SILENT_MIDWAY) + OWN + STEP < TOLD, name);
    }

    /**
     * The first call behind the return is lost as well, on a connection that stays open: still in
     * time.
     */
    @Test
    public void theReturnIsHeardInTimeThoughTheFirstCallIsLost() throws Exception {
        String[][] silent = {SILENT};
        int worst = 0;
        int spoke = 0;
        for (int seed = 1; seed <= 4; seed++) {
            for (int length = 150 * seed; length <= 10_000; length += 1100) {
                worst =
                        Math.max(
                                worst, returned(Down.SAYS, 250, silent, 0, false, length, 1, seed));
            }
            for (int length = STEP; length <= 3000; length += 600) {
                spoke =
                        Math.max(
                                spoke,
                                returned(Down.SAYS, 250, silent, 4050, false, length, 1, seed));
            }
        }
        Reporter.log(
                "silent, and the first call behind the return: at most "
                        + worst
                        + " ms, in mid-life "
                        + spoke,
                true);
        assertTrue(
                worst <= 2 * UNHEARD + OWN + 2 * STEP && 2 * UNHEARD + OWN + 2 * STEP <= TOLD,
                "at most " + worst);
        assertTrue(
                spoke <= Math.max(SILENT_MIDWAY + 1300 + 600, 2 * UNHEARD) + OWN + 2 * STEP,
                "in mid-life at most " + spoke);
    }

    /**
     * Plays an outage and tells how long after its end the change was acted on.
     *
     * @param from when it begins; a watch that was opened before speaks until then
     * @param resets it then, and leaves it open and silent otherwise
     * @param lost calls behind the return that nothing comes of
     */
    private int returned(
            Down down,
            int connect,
            String[][] says,
            int from,
            boolean resets,
            int length,
            int lost,
            long seed)
            throws Exception {
        clear();
        prepare();
        connectWithin = connect;
        int back = from + length;
        int[] left = {lost};
        IntFunction<String[]> tells =
                n ->
                        now < from
                                ? before(from, HEAD + chunk("\n"), chunk("\n"), chunk("\n"))
                                : now < back
                                        ? says[n % says.length]
                                        : left[0]-- > 0 ? SILENT : after(OWN, GOOD);
        if (from == 0) {
            goDown(down, true);
            start(seed);
        } else {
            start(seed);
            play(from, tells);
            assertEquals(opens, List.of(0));
            goDown(down, false);
            if (resets) {
                wires.get(0).reset();
            }
        }
        play(back, tells);
        assertTrue(takenAt < 0, "told by nobody");
        comeBack(down);
        while (takenAt < 0 && now <= back + TOLD) {
            play(now + STEP, tells);
        }
        assertTrue(
                takenAt >= 0,
                "not heard within 6 s: outage of "
                        + length
                        + " from "
                        + from
                        + ", asked at "
                        + opens);
        long alive = wires.stream().filter(w -> w.askedAt >= 0 && w.channel.isOpen()).count();
        assertTrue(alive <= 2, alive + " at once");
        return takenAt - back;
    }

    /** These, 2 s from one another, as far as they come before. */
    private static String[] before(int until, String... texts) {
        return each(
                2000,
                List.of(texts)
                        .subList(0, Math.min(texts.length, 1 + (until - 1) / 2000))
                        .toArray(String[]::new));
    }

    /**
     * @param first before the watch is started
     */
    private void goDown(Down how, boolean first) throws IOException {
        accepts = how != Down.FULL && how != Down.REFUSED;
        if (how == Down.REFUSED) {
            InetSocketAddress at = at();
            door.close();
            SocketChannel holder =
                    SocketChannel.open().setOption(StandardSocketOptions.SO_REUSEADDR, true);
            open.add(holder.bind(at)); // nobody else gets its port meanwhile
            where = at;
        } else if (how == Down.FULL) {
            for (int i = 0; i < 2; i++) { // what the door's backlog holds
                Socket filler = new Socket();
                filler.connect(at());
                open.add(filler);
            }
        } else if (how == Down.NO_ROOM && first) {
            descriptors = 0;
        } else if (how == Down.NO_ROOM) {
            setAside(descriptors);
        }
    }

    private void comeBack(Down how) throws IOException {
        accepts = true;
        if (how == Down.REFUSED) {
            door = door(where);
        } else if (how == Down.NO_ROOM) {
            setAside(-20);
        }
    }

    private void setAside(int connections) {
        desk.loop.execute(
                () -> desk.loop.descriptorBudget().setReservedForOtherProcess(connections));
    }
}
