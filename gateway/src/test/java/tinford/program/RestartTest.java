package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The end of a process under clients that go on: each req they write is accounted for. */
public class RestartTest extends Surroundings {
    private static final long LATE = 1500; // what some servers' answers take
    private static final int LONGEST = 4000; // of the frontends' client timeouts
    private final Set<String> seen = ConcurrentHashMap.newKeySet(); // by servers
    private volatile long signalled; // in nanoseconds, or 0

    /** One client: what it writes, when, and what becomes of it. */
    private final class Caller extends Thread {
        final int from; // of its ids
        final int together; // reqs it writes at once
        final long firstAt; // ms from the signal on, or -1: at once, and again and again
        final boolean early; // it connects before the signal, or only then
        final List<String> crossed = new ArrayList<>(); // closed unread, and sent once more
        int answered;
        int lost; // closed unread with nowhere to go
        String wrong;
        private int next;
        private volatile boolean enough; // it has been asked for what it has sent
        private Talk talk;

        Caller(int n, int together, long firstAt, boolean early) {
            this.from = (n + 1) * 100_000;
            this.together = together;
            this.firstAt = firstAt;
            this.early = early;
            setDaemon(true);
            start();
        }

        @Override
        public void run() {
            try {
                if (early) {
                    talk = client();
                    assertEquals(talk.say(command("PING")).hear(), "+PONG");
                }
                while (firstAt >= 0 && (signalled == 0 || since() < firstAt)) {
                    LockSupport.parkNanos(200_000);
                }
                int owed = 0; // to be sent once more
                while (!enough && next < 20_000 && (owed > 0 || since() < 10_000)) {
                    if (talk == null || !stays()) {
                        talk = client();
                    }
                    owed = ask(owed > 0 ? owed : together);
                    if (firstAt >= 0 && owed == 0) {
                        return;
                    }
                    LockSupport.parkNanos(owed > 0 ? 0 : (next % 7) * 400_000L);
                }
            } catch (ConnectException e) {
                return; // turned away at the door
            } catch (Exception | AssertionError e) {
                wrong = e.toString();
            } finally {
                lost = crossed.size() - again;
            }
        }

        private int again; // of those crossed, answered later

        private double since() {
            return signalled == 0 ? -1 : (System.nanoTime() - signalled) / 1e6;
        }

        /** Nothing says that its connection has ended. */
        private boolean stays() throws IOException {
            talk.socket.setSoTimeout(1);
            try {
                int c = talk.in.read();
                assertTrue(c < 0, "more than was asked for");
                talk.socket.close();
                return false;
            } catch (SocketTimeoutException e) {
                talk.socket.setSoTimeout(PATIENCE);
                return true;
            } catch (java.net.SocketException e) {
                talk.socket.close();
                return false;
            }
        }

        /** The result is how many have to be sent once more. */
        private int ask(int n) throws IOException {
            boolean repeats = crossed.size() > again;
            StringBuilder all = new StringBuilder();
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                ids.add(id(from + next));
                all.append(RestartTest.ask(from + next++));
            }
            try {
                talk.say(all.toString());
            } catch (java.net.SocketException e) {
                // closed meanwhile: what it has said before may still be read
            }
            for (int i = 0; i < n; i++) {
                String heard = talk.hear();
                if (heard == null) {
                    crossed.addAll(ids.subList(i, n));
                    again += repeats ? n : 0; // the same reqs, still owed
                    talk.socket.close();
                    talk = null;
                    return n - i;
                }
                assertTrue(heard.equals("for " + ids.get(i)) || heard.startsWith("-BUSY"), heard);
                answered++;
            }
            again += repeats ? n : 0;
            return 0;
        }
    }

    /** Answers at once, after a moment, or late, by the req. */
    private void serveLate(ServerSocket at) {
        daemon(
                () -> {
                    while (true) {
                        Talk t = accept(at);
                        daemon(
                                () -> {
                                    for (String s = t.hear(); s != null; s = t.hear()) {
                                        String id = s.split(" ")[2];
                                        seen.add(id);
                                        int n = Integer.parseInt(id.substring(8), 16);
                                        Thread.sleep(n % 40 == 3 ? LATE : n % 7 * 5);
                                        t.say(value("for " + id));
                                    }
                                });
                    }
                });
    }

    private void signal() {
        signalled = System.nanoTime();
        gateway.toHandle().destroy();
    }

    /**
     * Whether reqs go on before the signal, for how long the process has been up, and whether
     * another one follows.
     */
    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {"alone", 300, false}, {"just started", 0, false}, {"followed", 300, true}
        };
    }

    @Test(dataProvider = "ends")
    public void everyReqIsAccountedFor(String name, int upFor, boolean followed) throws Exception {
        signalled = 0;
        seen.clear();
        serveLate(servers[0]);
        if (followed) {
            share();
            gateway = managed(free(), log);
        } else {
            up().socket.close();
        }
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            callers.add(new Caller(callers.size(), i < 8 ? 1 : 3, -1, true));
        }
        for (int i = 0;
                i < 40;
                i++) { // between reqs until long after the signal, or until about the close
            callers.add(
                    new Caller(
                            callers.size(), 1 + i % 2, i < 8 ? 60 * i : 430 + 8 * (i - 8), true));
        }
        for (int i = 0; i < 20; i++) {
            callers.add(new Caller(callers.size(), 1, 35 * i, false));
        }
        if (followed) {
            Path otherLog = Files.createTempFile("tinford", ".log");
            open.add(() -> Files.delete(otherLog));
            managed(free(), otherLog);
        }
        TimeUnit.MILLISECONDS.sleep(upFor);
        Talk half = client();
        half.say(ask(7).substring(0, 50));
        signal();
        Talk lingers = client(); // and does not close when the gateway does
        Thread.sleep(900);
        half.say(ask(7).substring(50));
        String heard = half.hear();
        assertTrue(gateway.waitFor(PATIENCE, TimeUnit.MILLISECONDS));
        double took = (System.nanoTime() - signalled) / 1e6;
        int answered = 0;
        int crossed = 0;
        int lost = 0;
        List<String> wrong = new ArrayList<>();
        for (Caller c : callers) {
            if (followed) {
                c.enough = true;
            }
            c.join(PATIENCE);
            answered += c.answered;
            crossed += c.crossed.size();
            lost += c.lost;
            c.crossed.stream()
                    .filter(seen::contains)
                    .forEach(id -> wrong.add("sent on and not answered: " + id));
            if (c.wrong != null) {
                wrong.add(c.firstAt + ": " + c.wrong);
            }
        }
        String account =
                answered
                        + " answered, "
                        + crossed
                        + " crossed the close, "
                        + lost
                        + " lost, half a req: "
                        + heard
                        + ", gone after "
                        + took
                        + " ms, "
                        + wrong;
        assertEquals(wrong, List.of(), account);
        assertEquals(lost, 0, account);
        assertTrue(
                heard != null && (heard.equals("for " + id(7)) || heard.startsWith("-BUSY")),
                account);
        assertTrue(answered > 60 && took <= LONGEST + 700, account);
        assertEquals(gateway.exitValue(), 0);
        lingers.socket.close();
    }

    /** The first client there is, and the signal at once. */
    @Test
    public void aSignalRightBehindTheOpeningOfTheDoorIsAnEndLikeAnyOther() throws Exception {
        serveAll(servers[0]);
        Files.writeString(config, configuration());
        gateway = start(Map.of("ROUTER_CONFIG", config.toString()));
        Talk client = null;
        for (long until = System.nanoTime() + PATIENCE * 1_000_000L;
                client == null && System.nanoTime() < until; ) {
            try {
                client = client();
            } catch (ConnectException e) {
                Thread.onSpinWait();
            }
        }
        signal();
        String heard = client.say(ask(1)).hear();
        assertTrue(
                heard != null && (heard.equals("for " + id(1)) || heard.startsWith("-BUSY")),
                "heard " + heard);
        assertTrue(gateway.waitFor(PATIENCE, TimeUnit.MILLISECONDS));
        assertEquals(gateway.exitValue(), 0);
    }

    /**
     * Its answer is a long value, of which it takes nothing: the end comes when nobody waits for an
     * answer any more.
     */
    @Test
    public void aClientThatDoesNotReadHoldsUpNoEnd() throws Exception {
        Talk client = up("\"HardLimitUs\":4000000", "\"HardLimitUs\":1000000");
        client.say(ask(1));
        Talk server = accept(servers[0]);
        server.hear();
        daemon(() -> server.say(value("x".repeat(4 << 20))));
        assertEquals(client.line(), "$" + (4 << 20));
        signal();
        assertTrue(gateway.waitFor(PATIENCE, TimeUnit.MILLISECONDS));
        double took = (System.nanoTime() - signalled) / 1e6;
        assertTrue(
                took >= 1600 && took < 3000,
                "gone after " + took); // 1680 by its own clock, 10 s without
        assertEquals(gateway.exitValue(), 0);
    }

    /** A process that waits for its turn ends when it is told to; the other one goes on. */
    @Test
    public void aProcessThatWaitsEndsWhenTold() throws Exception {
        share();
        serveAll(servers[0]);
        gateway = managed(free(), log);
        Path otherLog = Files.createTempFile("tinford", ".log");
        open.add(() -> Files.delete(otherLog));
        Process next = managed(free(), otherLog);
        next.toHandle().destroy();
        assertTrue(next.waitFor(2, TimeUnit.SECONDS), "it has not ended");
        assertEquals(next.exitValue(), 0);
        assertEquals(client().say(ask(1)).hear(), "for " + id(1));
        gateway.toHandle().destroy();
        assertTrue(gateway.waitFor(PATIENCE, TimeUnit.MILLISECONDS));
        assertEquals(gateway.exitValue(), 0);
    }
}
