package tinford.routing.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.function.IntFunction;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against an outdated endpoint list after an outage of discovery: the new list must be in
 * force within 6 s of the end of the outage, whatever happened to the calls before. The outages
 * differ in kind, length and start. docs/standing.md derives the bounds.
 */
public class DiscoveryOutageTest extends DiscoveryFixture {
    /** The longest backoff between the end of a call and the next call. */
    private static final int MAX_BACKOFF_MS = 750;

    /** Longest time from a call that receives no line to the next call. */
    private static final int NO_LINE_MS = 2000 + MAX_BACKOFF_MS;

    /** Longest time from the last line of a watch to the next call. */
    private static final int AFTER_LINES_MS = 2600 + 300;

    /** Time that discovery takes to answer a call after the outage. */
    private static final int CALL_MS = 400;

    /** Start of an outage before which the first watch has sent two or three lines. */
    private static final int MIDWAY_MS = 4050;

    private static final Script HALF_LINE =
            Script.at(
                    0,
                    HEAD
                            + Integer.toHexString(LIST_WITHOUT_S0.length())
                            + "\r\n"
                            + LIST_WITHOUT_S0.substring(0, 40));
    private static final Script HEAD_ONLY = Script.at(0, HEAD);
    private static final Script GARBAGE = Script.at(0, HEAD + chunk("{]\n")).thenClose(0);
    private static final Script LATE_GARBAGE =
            Script.at(0, HEAD + chunk("{\"seq\":4")).then(1200, chunk("]\n")).thenClose(1200);
    private static final Script NO_HEAD = Script.closeAt(0);
    private static final Script HEAD_THEN_END = Script.at(0, HEAD).thenClose(0);
    private static final Script RESET = Script.resetAt(0);
    private static final Script LATE_RESET = Script.at(0, HEAD).thenReset(700);
    private static final Script HALF_LINE_THEN_END = HALF_LINE.thenClose(300);
    private static final Script BYTES_WITHOUT_LINE = trickle(HEAD, "{\"x\":3,");

    /** Kind of outage. */
    private enum Outage {
        /** Connections are refused, as there is no listener. */
        REFUSED,
        /** Connections are never established, as the listener's backlog is full. */
        FULL,
        /** The gateway has no descriptor for a connection. */
        NO_DESCRIPTOR,
        /** Connections are accepted, and answered with scripts. */
        SCRIPTED
    }

    /**
     * Name; kind of outage; connect timeout; longest time to the next call after the outage;
     * scripts for the calls during the outage, in turn.
     */
    @DataProvider
    public Object[][] outages() {
        Script silent = Script.SILENT;
        Script[] allWays = {
            UNAVAILABLE,
            silent,
            RESET,
            HEAD_ONLY,
            GARBAGE,
            HALF_LINE,
            NO_HEAD,
            trickle(HEAD, " "),
            LATE_RESET,
            LATE_GARBAGE
        };
        int backoff = MAX_BACKOFF_MS;
        return new Object[][] {
            {"refused", Outage.REFUSED, 250, backoff, scripts(silent)},
            {"never established", Outage.FULL, 250, 250 + backoff, scripts(silent)},
            {
                "never established, long connect time-out",
                Outage.FULL,
                5000,
                NO_LINE_MS,
                scripts(silent)
            },
            {"no descriptor", Outage.NO_DESCRIPTOR, 250, backoff, scripts(silent)},
            scripted("accepted and silent", NO_LINE_MS, silent),
            scripted("503", backoff, UNAVAILABLE),
            scripted("closed before the head", backoff, NO_HEAD),
            scripted("closed behind the head", backoff, HEAD_THEN_END),
            scripted("reset", backoff, RESET),
            scripted("head and reset later", 700 + backoff, LATE_RESET),
            scripted("head then nothing", NO_LINE_MS, HEAD_ONLY),
            scripted("half a line", NO_LINE_MS, HALF_LINE),
            scripted("half a line, then the end", 300 + backoff, HALF_LINE_THEN_END),
            scripted("bytes that make no line", NO_LINE_MS, BYTES_WITHOUT_LINE),
            scripted("a line that can't be read", backoff, GARBAGE),
            scripted("a line that can't be read, late", 1200 + backoff, LATE_GARBAGE),
            scripted("in all ways", NO_LINE_MS, allWays),
        };
    }

    private static Object[] scripted(String name, int longestWaitMs, Script... scripts) {
        return new Object[] {name, Outage.SCRIPTED, 250, longestWaitMs, scripts};
    }

    private static Script[] scripts(Script... scripts) {
        return scripts;
    }

    /**
     * Covers outages from the first call on, and outages that start while a watch is open, which is
     * then silent or is reset.
     */
    @Test(dataProvider = "outages")
    public void listIsInForceInTimeAfterAnOutage(
            String name, Outage outage, int connectMs, int longestWaitMs, Script[] scripts)
            throws Exception {
        int worstMs = 0;
        for (int seed = 1; seed <= 3; seed++) {
            for (int lengthMs = 150 * seed; lengthMs <= 7000; lengthMs += 1400) {
                OutageCase outageCase =
                        new OutageCase(outage, connectMs, scripts, 0, false, lengthMs, 0);
                worstMs = Math.max(worstMs, recoveryMs(outageCase, seed));
            }
        }
        int worstMidwayMs = 0;
        for (int seed = 1; seed <= 4; seed++) {
            int fromMs = MIDWAY_MS + 600 * (seed - 1);
            boolean resets = seed % 2 == 0;
            for (int lengthMs = 150 * seed; lengthMs <= 6000; lengthMs += 3000) {
                OutageCase outageCase =
                        new OutageCase(outage, connectMs, scripts, fromMs, resets, lengthMs, 0);
                worstMidwayMs = Math.max(worstMidwayMs, recoveryMs(outageCase, seed));
            }
        }
        Reporter.log(name + ": at most " + worstMs + " ms, midway " + worstMidwayMs, true);
        int longestMidwayMs = Math.max(longestWaitMs, AFTER_LINES_MS) + CALL_MS + STEP_MS;
        assertTrue(worstMs <= longestWaitMs + CALL_MS + STEP_MS, name + ": " + worstMs);
        assertTrue(worstMidwayMs <= longestMidwayMs, name + " midway: " + worstMidwayMs);
        assertTrue(longestMidwayMs < DEADLINE_MS, name);
    }

    /** The first call after the outage is lost too, on a connection that stays open. */
    @Test
    public void listIsInForceInTimeThoughTheFirstCallAfterIsLost() throws Exception {
        int worstMs = 0;
        int worstMidwayMs = 0;
        for (int seed = 1; seed <= 4; seed++) {
            for (int lengthMs = 150 * seed; lengthMs <= 10_000; lengthMs += 1100) {
                worstMs = Math.max(worstMs, recoveryMs(silentOutage(0, lengthMs), seed));
            }
            for (int lengthMs = STEP_MS; lengthMs <= 3000; lengthMs += 600) {
                int tookMs = recoveryMs(silentOutage(MIDWAY_MS, lengthMs), seed);
                worstMidwayMs = Math.max(worstMidwayMs, tookMs);
            }
        }
        Reporter.log(
                "silent, and the first call after it: at most "
                        + worstMs
                        + " ms, midway "
                        + worstMidwayMs,
                true);
        int ownMs = CALL_MS + 2 * STEP_MS;
        assertTrue(
                worstMs <= 2 * NO_LINE_MS + ownMs && 2 * NO_LINE_MS + ownMs <= DEADLINE_MS,
                "at most " + worstMs);
        int longestMidwayMs = Math.max(AFTER_LINES_MS + 1300 + 600, 2 * NO_LINE_MS) + ownMs;
        assertTrue(worstMidwayMs <= longestMidwayMs, "midway at most " + worstMidwayMs);
    }

    private static OutageCase silentOutage(int fromMs, int lengthMs) {
        return new OutageCase(
                Outage.SCRIPTED, 250, scripts(Script.SILENT), fromMs, false, lengthMs, 1);
    }

    /**
     * An outage and its parameters.
     *
     * @param scripts for the calls during the outage, in turn
     * @param fromMs start of the outage; a watch that was opened before sends lines until then
     * @param resets whether that watch is reset at the start, rather than left open and silent
     * @param lostCalls number of calls after the outage that are not answered
     */
    private record OutageCase(
            Outage outage,
            int connectTimeoutMs,
            Script[] scripts,
            int fromMs,
            boolean resets,
            int lengthMs,
            int lostCalls) {
        int endMs() {
            return fromMs + lengthMs;
        }
    }

    /** Runs an outage; returns the time from its end until the change was in force. */
    private int recoveryMs(OutageCase outageCase, long seed) throws Exception {
        clear();
        prepare();
        connectTimeoutMs = outageCase.connectTimeoutMs();
        IntFunction<Script> scripts = scriptsOf(outageCase);
        if (outageCase.fromMs() == 0) {
            beginOutage(outageCase.outage(), true);
            start(seed);
        } else {
            start(seed);
            play(outageCase.fromMs(), scripts);
            assertEquals(callTimesMs, List.of(0));
            beginOutage(outageCase.outage(), false);
            if (outageCase.resets()) {
                connections.get(0).reset();
            }
        }
        play(outageCase.endMs(), scripts);
        assertTrue(removedAtMs < 0, "s0 removed before the list was sent");
        endOutage(outageCase.outage());
        while (removedAtMs < 0 && nowMs <= outageCase.endMs() + DEADLINE_MS) {
            play(nowMs + STEP_MS, scripts);
        }
        assertTrue(
                removedAtMs >= 0,
                "list not in force in time: outage length in ms: "
                        + outageCase.lengthMs()
                        + ", start: "
                        + outageCase.fromMs()
                        + ", calls at: "
                        + callTimesMs);
        long alive = connections.stream().filter(c -> c.isCalled() && c.isOpen()).count();
        assertTrue(alive <= 2, alive + " connections open at once");
        return removedAtMs - outageCase.endMs();
    }

    private IntFunction<Script> scriptsOf(OutageCase outageCase) {
        int[] lostCalls = {outageCase.lostCalls()};
        return call -> {
            if (nowMs < outageCase.fromMs()) {
                return linesBefore(outageCase.fromMs());
            }
            if (nowMs < outageCase.endMs()) {
                return outageCase.scripts()[call % outageCase.scripts().length];
            }
            boolean lost = lostCalls[0] > 0;
            lostCalls[0]--;
            return lost ? Script.SILENT : ALIVE.delayedBy(CALL_MS);
        };
    }

    /** Heartbeats every 2 s until a time. */
    private static Script linesBefore(int untilMs) {
        List<String> texts = List.of(HEAD + HEARTBEAT, HEARTBEAT, HEARTBEAT);
        int count = Math.min(texts.size(), 1 + (untilMs - 1) / 2000);
        return Script.every(2000, texts.subList(0, count));
    }

    /**
     * @param beforeStart whether the watch has not been started yet
     */
    private void beginOutage(Outage outage, boolean beforeStart) throws IOException {
        acceptsConnections = outage != Outage.FULL && outage != Outage.REFUSED;
        switch (outage) {
            case REFUSED -> closeListener();
            case FULL -> fillBacklog();
            case NO_DESCRIPTOR -> {
                if (beforeStart) {
                    descriptors = 0;
                } else {
                    reserveDescriptors(descriptors);
                }
            }
            default -> {}
        }
    }

    /** Closes the listener, but keeps its port bound, so that no other process can bind to it. */
    private void closeListener() throws IOException {
        InetSocketAddress address = address();
        listener.close();
        SocketChannel holder =
                SocketChannel.open().setOption(StandardSocketOptions.SO_REUSEADDR, true);
        resources.add(holder.bind(address));
        closedAddress = address;
    }

    private void endOutage(Outage outage) throws IOException {
        acceptsConnections = true;
        if (outage == Outage.REFUSED) {
            listener = listen(closedAddress);
        } else if (outage == Outage.NO_DESCRIPTOR) {
            reserveDescriptors(-20);
        }
    }

    private void reserveDescriptors(int count) {
        dispatcher
                .loop()
                .execute(
                        () ->
                                dispatcher
                                        .loop()
                                        .descriptorBudget()
                                        .setReservedForOtherProcess(count));
    }
}
