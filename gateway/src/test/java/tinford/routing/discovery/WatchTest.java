package tinford.routing.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.Server;

/** What the watch hears, and when it opens another beside a silent one. */
public class WatchTest extends WatchBed {
    private static final int ONE = 1650; // until another is asked beside a watch that never spoke
    private static final int MIDWAY = 2950; // beside one that spoke before
    private static final int TWO = 4800; // and where that one is silent too

    /**
     * When the silence begins; how soon after it the news is taken; the connections of 11 s; what
     * each of them says.
     */
    @DataProvider
    public Object[][] cases() {
        String beat = HEAD + chunk("\n");
        String half = HEAD + Integer.toHexString(DROPS.length()) + "\r\n" + DROPS.substring(0, 40);
        String[] midway = {"0", beat, "2000", chunk("\n"), "4000", chunk("\n")};
        String many = indented(DROPS);
        String back =
                list(
                        43,
                        true,
                        "s1",
                        host("s9", "ready").replace("\"born_ms\":0", "\"born_ms\":5000"));
        String gone = list(43, false, "{\"host\":\"s0\",\"health\":\"gone\"}");
        return new Object[][] {
            {"told at once", 0, 50, 1, new String[][] {GOOD}},
            {"first line after 2 s", 0, 2000, 2, new String[][] {after(2000, GOOD)}},
            {"silent from the start", 0, ONE, 2, new String[][] {SILENT, GOOD}},
            {
                "silent from the start, the next too",
                0,
                TWO,
                3,
                new String[][] {SILENT, SILENT, GOOD}
            },
            {"silent midway", 4000, MIDWAY, 2, new String[][] {midway, GOOD}},
            {"silent midway, the next too", 4000, TWO, 3, new String[][] {midway, SILENT, GOOD}},
            {"heartbeats stop after one", 0, MIDWAY, 2, new String[][] {{"0", beat}, GOOD}},
            {"half a line", 0, ONE, 2, new String[][] {{"0", half}, GOOD}},
            {
                "half a line, behind a heartbeat and anew",
                0,
                TWO,
                3,
                new String[][] {{"0", beat + half.substring(HEAD.length())}, {"0", half}, GOOD}
            },
            {
                "half an object and empty lines",
                0,
                ONE,
                2,
                new String[][] {
                    each(
                            1000,
                            HEAD + chunk("{\"seq\":43,\n"),
                            chunk("\n"),
                            chunk("\n"),
                            chunk("\n"),
                            chunk("\n"),
                            chunk("\n"),
                            chunk("\n"),
                            chunk("\n"),
                            chunk("\n")),
                    GOOD
                }
            },
            {
                "bytes that make no line",
                0,
                ONE,
                2,
                new String[][] {trickle(HEAD, "{\"x\":3,"), GOOD}
            },
            {
                "blanks that make no line",
                0,
                TWO,
                3,
                new String[][] {trickle(HEAD, " "), trickle(HEAD, " "), GOOD}
            },
            {"a head", 0, ONE, 2, new String[][] {{"0", HEAD}, GOOD}},
            {"a head, twice", 0, TWO, 3, new String[][] {{"0", HEAD}, {"0", HEAD}, GOOD}},
            {"answers after 3 s, each time", 0, 3000, 2, new String[][] {after(3000, GOOD)}},
            {
                "silent midway, then answers after 2.5 s",
                4000,
                MIDWAY + 2500,
                3,
                new String[][] {midway, after(2500, GOOD)}
            },
            {"503, twice", 0, 950, 3, new String[][] {FAILING, FAILING, GOOD}},
            {
                "garbage, twice",
                0,
                950,
                3,
                new String[][] {{"0", "what\r\n\r\n"}, {"0", HEAD + chunk("{]\n")}, GOOD}
            },
            {
                "a list without a number",
                0,
                350,
                2,
                new String[][] {{"0", HEAD + chunk("{\"seq\":\"43\"}\n")}, GOOD}
            },
            {
                "ends at once, twice",
                0,
                950,
                3,
                new String[][] {{"0", beat + "0\r\n\r\n"}, {"0", "end"}, GOOD}
            },
            {"indented, in one chunk", 0, 50, 1, new String[][] {with(HEAD + chunk(many))}},
            {
                "indented, in two pieces",
                0,
                550,
                1,
                new String[][] {
                    with(HEAD + chunk(many.substring(0, 31)), "500", chunk(many.substring(31)))
                }
            },
            {"indented, a chunk a line", 0, 50, 1, new String[][] {with(HEAD + chunks(many))}},
            {
                "late and older than the one held",
                0,
                50,
                1,
                new String[][] {
                    with(HEAD + chunk(DROPS), "300", chunk(list(41, true, "s0", "s1", "s2")))
                }
            },
            {"back under another id", 0, 50, 1, new String[][] {with(HEAD + chunk(back))}},
            {"gone, told of it alone", 0, 50, 1, new String[][] {with(HEAD + chunk(gone))}},
            {
                "cut, twice",
                0,
                950,
                3,
                new String[][] {{"0", half, "0", "end"}, {"0", half, "0", "reset"}, GOOD}
            },
            {
                "twice in one chunk, and again",
                0,
                50,
                1,
                new String[][] {with(HEAD + chunk(gone + gone), "300", chunk(gone))}
            },
            {
                "with fields that nobody knows",
                0,
                50,
                1,
                new String[][] {
                    with(
                            HEAD
                                    + chunk(
                                            DROPS.replace(
                                                            "\"site\"",
                                                            "\"x\":[{\"y\":null},[]],\"site\"")
                                                    .replace(
                                                            "\"whole\"",
                                                            "\"z\":{\"u\":[1e9,\"\\u00e9\"]},\"whole\"")))
                }
            },
            {
                "a field nested deep",
                0,
                350,
                2,
                new String[][] {
                    {
                        "0",
                        HEAD
                                + chunk(
                                        "{\"seq\":43,\"x\":"
                                                + "{\"a\":".repeat(950)
                                                + "1"
                                                + "}".repeat(951)
                                                + "\n")
                    },
                    GOOD
                }
            },
            {
                "an old one beats once while the next is out",
                0,
                4550,
                3,
                new String[][] {{"1600", HEAD + chunk("\n")}, after(300, GOOD), GOOD}
            },
        };
    }

    private static String chunks(String text) {
        StringBuilder all = new StringBuilder();
        for (String line : text.split("(?<=\n)")) {
            all.append(chunk(line));
        }
        return all.toString();
    }

    /**
     * A watch that tells nothing whole is not believed, whatever comes of it; what the next one
     * tells is acted on in time.
     */
    @Test(dataProvider = "cases")
    public void whatCountsAsToldIsHeard(
            String name, int from, int within, int connections, String[][] scripts)
            throws Exception {
        for (long seed = 1; seed <= 4; seed++) {
            clear();
            prepare();
            start(seed);
            play(11_000, scripts);
            String seen = "taken at " + takenAt + ", opened at " + opens;
            assertTrue(takenAt >= 0 && takenAt - from <= within && within <= TOLD, seen);
            assertEquals(opens.size(), connections, "opened at " + opens);
            assertTrue(!held.containsKey("s0") && held.containsKey("s1"), "put back");
            assertTrue(asked.get(0).contains("&after=42 "), asked.toString());
        }
    }

    /**
     * Down for long: asked ever more rarely, on two connections at most, and what comes at the
     * return is taken at once.
     */
    @DataProvider
    public Object[][] outages() {
        return new Object[][] {
            {FAILING, 48, 800},
            {SILENT, 10, 2800},
            {new String[] {"0", HEAD}, 10, 2800},
            {new String[] {"0", "reset"}, 48, 800},
            {new String[] {"0", HEAD + chunk("\n"), "0", "end"}, 48, 800},
            {new String[] {"0", HEAD + chunk("\n\n{]\n")}, 48, 800}
        };
    }

    @Test(dataProvider = "outages")
    public void anOutageIsLookedAtRarelyAndItsEndSeen(String[] says, int most, int within)
            throws Exception {
        for (boolean revives : new boolean[] {false, true}) {
            clear();
            prepare();
            start(3);
            play(20_000, new String[][] {says});
            assertTrue(opens.size() >= 5 && opens.size() <= most, opens.size() + " connections");
            List<Wire> left = wires.stream().filter(w -> w.channel.isOpen()).toList();
            assertTrue(left.size() <= 2, left.size() + " at once");
            for (Wire w : left) {
                if (revives) {
                    w.said = 0;
                    w.script = after(now - w.askedAt, says.length == 0 ? GOOD : with(chunk(DROPS)));
                }
            }
            play(24_000, new String[][] {GOOD});
            int took = takenAt - 20_000;
            assertTrue(
                    took >= 0 && took <= (revives && !left.isEmpty() ? 0 : within),
                    "taken after " + took);
        }
    }

    /**
     * Room for the two that there may be and for no other: the third has the place of the first, at
     * the same time.
     */
    @Test
    public void aThirdHasThePlaceOfTheFirst() throws Exception {
        List<List<Integer>> seen = new ArrayList<>();
        for (int room : new int[] {20, 4}) { // of four, two are for discovery
            clear();
            prepare();
            descriptors = room;
            start(1);
            play(8000, SILENT, SILENT, SILENT, GOOD);
            seen.add(List.copyOf(opens));
        }
        assertEquals(seen.get(0).size(), 4);
        assertEquals(seen.get(1), seen.get(0));
    }

    /** Whoever wants to hear of a lost watch can't keep the next one from being opened. */
    @Test
    public void aFaultInWhoeverHearsOfItIsNotTheWatchs() throws Exception {
        start(1);
        watch.onLost(
                () -> {
                    throw new IllegalStateException("a fault of its own");
                });
        play(4000, SILENT, GOOD);
        assertTrue(takenAt >= 0 && takenAt <= ONE, "taken at " + takenAt);
    }

    /** Entries that can't be read, behind one that can. */
    @DataProvider
    public Object[][] spoilt() {
        String good = host("s5", "ready");
        List<String> bad =
                List.of(
                        "{}",
                        good.replace("\"s5\"", "5"),
                        good.replace("ready", "asleep"),
                        good.replace("127.0.0.1", "s5"),
                        good.replace(":9\"", "\""),
                        good.replace("born_ms\":0", "born_ms\":\"x\""),
                        good.replace("\"a\"", "7"),
                        good.replace("block\":0", "block\":0.5"),
                        good.replace("share\":1.0", "share\":{}"),
                        good.replace("\"site\"", "\"class\":5,\"site\""));
        List<Object[]> all = new ArrayList<>();
        for (String entry : bad) {
            all.add(new Object[] {list(43, true, host("s0", "draining"), entry, "s1")});
        }
        String list = list(43, true, host("s0", "draining"));
        for (String text :
                List.of(
                        list.replace("43", "\"43\""),
                        list.replace("43", "4.3"),
                        list.replace("true", "1"),
                        list.replace("hosts", "host"),
                        list.replace("]", ",7]"),
                        list.replace("[", "{\"x\":[").replace("]", "]}"),
                        "[" + list.strip() + "]\n",
                        "null\n")) {
            all.add(new Object[] {text});
        }
        return all.toArray(Object[][]::new);
    }

    /**
     * Nothing of such a list is taken, and the next watch asks from the version held, so that the
     * change is not lost.
     */
    @Test(dataProvider = "spoilt")
    public void aListThatCantBeReadIsAskedForAgainWhole(String text) throws Exception {
        start(1);
        play(100, new String[] {"0", HEAD + chunk(text)}, GOOD);
        assertEquals(held.keySet(), Set.of("s0", "s1"));
        assertEquals(held.get("s0").state, Server.State.UP);
        play(1000, new String[][] {GOOD});
        assertTrue(takenAt >= 0 && takenAt <= 350, "taken at " + takenAt);
        assertTrue(asked.size() == 2 && asked.get(1).contains("&after=42 "), asked.toString());
    }

    /** What a call for the list once comes to; how often it is told as refused. */
    @DataProvider
    public Object[][] fetches() {
        return new Object[][] {
            {SILENT, 1},
            {new String[] {"0", HEAD}, 1},
            {trickle(HEAD, "{\"x\":3,"), 1},
            {FAILING, 1},
            {new String[] {"0", "end"}, 1},
            {new String[] {"0", HEAD + chunk("\n") + "0\r\n\r\n"}, 1},
            {GOOD, 0},
            {new String[] {"0", HEAD + chunk(DROPS) + "0\r\n\r\n"}, 0}
        };
    }

    /**
     * Each has its end within 2 s, whatever comes, told once; one at a time, and its descriptor is
     * free for the next.
     */
    @Test(dataProvider = "fetches")
    public void aCallForTheListOnceHasItsEnd(String[] says, int refusals) throws Exception {
        String[] lives = {
            "0", HEAD + chunk("\n"), "2000", chunk("\n"), "4000", chunk("\n"), "6000", chunk("\n")
        };
        descriptors = 4; // two of them for discovery
        start(1);
        play(1000, new String[][] {lives});
        for (int call = 1; call <= 2; call++) {
            desk.loop()
                    .execute(
                            () -> {
                                watch.fetch();
                                watch.fetch();
                            });
            play(1000 + 2500 * call, new String[][] {says});
            assertEquals(opens.size(), 1 + call);
            assertEquals(asked.get(call), "GET /registry/instances HTTP/1.1");
            assertTrue(!wires.get(call).channel.isOpen(), "left open");
            assertEquals(refused, refusals * call);
            assertEquals(takenAt >= 0, refusals == 0);
        }
        assertTrue(wires.get(0).channel.isOpen());
    }

    /** Machine full: connections never come up, and are tried again by their time-out. */
    @Test
    public void aConnectionThatNeverComesUpIsTriedAgain() throws Exception {
        accepts = false;
        for (int i = 0; i < 2; i++) { // what the door's backlog holds
            Socket filler = new Socket();
            filler.connect(at());
            open.add(filler);
        }
        start(1);
        play(3000, new String[][] {GOOD});
        assertEquals(opens, List.of());
        accepts = true;
        play(5000, new String[][] {GOOD});
        assertTrue(
                takenAt <= 4050, "taken at " + takenAt); // 250 ms of a try, 750 ms until the next
    }

    @DataProvider
    public Object[][] moves() {
        return new Object[][] {
            {GOOD, 1}, {SILENT, 1}, {FAILING, 1}, {new String[] {"0", HEAD + chunk("\n")}, 2}
        };
    }

    /**
     * Told to move while the watch is in this state, with as many silent ones where it goes: counts
     * 4 s later.
     */
    @Test(dataProvider = "moves")
    public void aMoveIsHeardInTime(String[] before, int silent) throws Exception {
        start(1);
        play(5000, new String[][] {before});
        List<Wire> old = wires.stream().filter(w -> w.channel.isOpen()).toList();
        takenAt = -1;
        door = door();
        desk.loop()
                .execute(
                        () -> {
                            held.put("s0", new Server("s0"));
                            try {
                                watch.moveTo(at());
                            } catch (IOException e) {
                                throw new java.io.UncheckedIOException(e);
                            }
                        });
        opens.clear();
        asked.clear();
        String[] good = with(HEAD + chunk(list(44, true, "s1")));
        play(
                9000,
                silent == 1
                        ? new String[][] {SILENT, good}
                        : new String[][] {SILENT, SILENT, good});
        assertTrue(
                takenAt >= 0 && takenAt - 5000 <= (silent == 1 ? ONE : 4000),
                "taken at " + takenAt + ", opened at " + opens);
        assertTrue(
                asked.get(0).contains(before == GOOD ? "&after=43 " : "&after=42 "),
                asked.toString());
        for (Wire w : old) {
            assertTrue(!w.channel.isOpen(), "left open");
        }
    }

    /**
     * What the watch meets before it is moved; how many ms lie between the two moves; whether the
     * second one leads back.
     */
    @DataProvider
    public Object[][] movesTwice() {
        List<Object[]> all = new ArrayList<>();
        for (String[] before : new String[][] {GOOD, SILENT, FAILING, {"0", HEAD + chunk("\n")}}) {
            for (int apart : new int[] {0, 200, 1450, 3000}) {
                all.add(new Object[] {before, apart, true});
                all.add(new Object[] {before, apart, false});
            }
        }
        return all.toArray(Object[][]::new);
    }

    /**
     * Moved while a call is out, a wait runs or one speaks; again with the call to the new address
     * out; the last one counts.
     */
    @Test(dataProvider = "movesTwice")
    public void theLastOfTwoMovesCounts(String[] before, int apart, boolean back) throws Exception {
        start(2);
        play(5000, new String[][] {before});
        takenAt = -1;
        held.put("s0", new Server("s0"));
        ServerSocketChannel last = back ? door : door();
        door = door();
        InetSocketAddress between = at();
        desk.loop().execute(() -> watch.moveTo(between));
        play(5000 + apart, new String[][] {SILENT});
        door = last;
        InetSocketAddress to = at();
        desk.loop().execute(() -> watch.moveTo(to));
        opens.clear();
        asked.clear();
        play(5000 + apart + STEP, new String[][] {with(HEAD + chunk(list(44, true, "s1")))});
        assertEquals(takenAt, 5000 + apart);
        play(5000 + apart + 1000, new String[][] {SILENT});
        assertEquals(opens, List.of(5000 + apart));
        assertTrue(
                asked.get(0).contains(before == GOOD ? "&after=43 " : "&after=42 "),
                asked.toString());
        assertEquals(wires.stream().filter(w -> w.channel.isOpen()).count(), 1);
    }
}
