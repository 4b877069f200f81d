package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** SIGTERM at the instants at which something is owed. */
public class ShutdownTest extends Surroundings {
    private static final int SLACK =
            700; // after the longest client timeout, or 3 s, SIGKILL may come
    private final Set<String> sentOn = ConcurrentHashMap.newKeySet(); // ids seen by servers
    private final Semaphore holds =
            new Semaphore(0); // one for each req that a server has read and does not answer
    private long signalled;
    private volatile double latest; // ms, of this machine since the signal
    private int longest = 4000; // of the client timeouts

    @Override
    String configuration() {
        return super.configuration()
                .replace("\"HardLimitUs\":4000000", "\"HardLimitUs\":" + longest + "000")
                .replaceAll("\"OnTimeUs\":[0-9]*", "\"OnTimeUs\":" + longest / 2 + "000");
    }

    private void signal() {
        if (signalled == 0) {
            signalled = System.nanoTime();
            daemon(this::watchMachine);
        }
        gateway.toHandle().destroy();
    }

    /** How late it lets whoever is due go on: a process that ends is due several times in a row. */
    private void watchMachine() {
        latest = 0;
        while (gateway.isAlive()) {
            long from = System.nanoTime();
            LockSupport.parkNanos(1_000_000);
            latest = Math.max(latest, (System.nanoTime() - from) / 1e6 - 1);
        }
    }

    private double since() {
        return (System.nanoTime() - signalled) / 1e6;
    }

    /** Reads every req, and answers all or none. */
    private void serve(ServerSocket at, boolean answers) {
        signalled = 0;
        sentOn.clear();
        holds.drainPermits();
        daemon(
                () -> {
                    while (true) {
                        Talk t = accept(at);
                        daemon(
                                () -> {
                                    for (String s = t.hear(); s != null; s = t.hear()) {
                                        String id = s.split(" ")[2];
                                        sentOn.add(id);
                                        if (answers) {
                                            t.say(value("for " + id));
                                        } else {
                                            holds.release();
                                        }
                                    }
                                });
                    }
                });
    }

    private void gone(double from, double to) throws Exception {
        assertTrue(gateway.waitFor(PATIENCE, TimeUnit.MILLISECONDS));
        double took = since();
        assertTrue(
                took >= from && took <= to + 5 * latest,
                "gone after " + took + ", the machine late by " + latest);
        assertEquals(gateway.exitValue(), 0);
    }

    private static boolean isAnswer(String heard, int id) {
        return heard != null
                && (heard.equals("for " + id(id))
                        || heard.startsWith("-BUSY")
                        || heard.equals("-ERR aborted"));
    }

    @DataProvider
    public Object[][] timeouts() {
        return new Object[][] {{300}, {1000}, {8000}};
    }

    /**
     * The servers hang, one client never closes, one sends half a command and one sends on and on:
     * each req has an answer, and the process is gone in time.
     */
    @Test(dataProvider = "timeouts")
    public void serversThatHangHoldUpNoEnd(int timeout) throws Exception {
        serve(servers[0], false);
        longest = timeout;
        Talk stays = up();
        Talk half = client().say(ask(2).substring(0, 60));
        Talk busy = client();
        List<String> said = new CopyOnWriteArrayList<>();
        List<String> answers = new CopyOnWriteArrayList<>();
        Semaphore room = new Semaphore(2);
        stays.say(ask(1).replace("d=4000", "d=8000"));
        assertTrue(holds.tryAcquire(PATIENCE, TimeUnit.MILLISECONDS));
        Thread hears =
                daemon(
                        () -> {
                            for (String s = busy.hear(); s != null; s = busy.hear()) {
                                answers.add(s);
                                room.release();
                            }
                            room.release(1000);
                        });
        signal();
        Thread writes =
                daemon(
                        () -> {
                            for (int n = 100;
                                    hears.isAlive();
                                    n++) { // two are always under way, so that this connection is
                                // never at rest
                                room.acquire();
                                busy.say(ask(n));
                                said.add(id(n));
                            }
                        });
        assertTrue(isAnswer(stays.hear(), 1));
        String word = half.hear();
        assertTrue(
                word != null && (word.equals("-BUSY") || word.startsWith("-ERR ")),
                "half a command hears " + word);
        int counted = Math.min(timeout, 3000);
        gone(counted, counted + SLACK + 250); // so much for this test's own machine
        hears.join(PATIENCE);
        writes.join(PATIENCE);
        List<String> open = said.subList(answers.size(), said.size());
        assertTrue(
                open.stream().noneMatch(sentOn::contains),
                "sent on and not answered: " + open + ", answered " + answers.size());
    }

    /**
     * Reqs written right before the signal, on connections that stand, that have just come and that
     * wait to be let in, and right behind it: none is dropped.
     */
    @Test
    public void whatLiesUnreadAtTheSignalIsAnswered() throws Exception {
        serve(servers[0], true);
        up().socket.close();
        List<Talk> clients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            clients.add(client());
        }
        Talk half = client().say(ask(1000).substring(0, 60));
        for (int i = 0; i < 100; i++) {
            clients.get(i).say(ask(i));
        }
        for (int i = 100; i < 150; i++) {
            clients.add(client().say(ask(i)));
        }
        signal();
        half.say(ask(1000).substring(60));
        for (int i = 150; i < 200; i++) {
            clients.add(client().say(ask(i)));
        }
        for (int i = 0; i < 200; i++) {
            String heard = clients.get(i).hear();
            assertTrue(isAnswer(heard, i), i + ": " + heard);
            clients.get(i).socket.close();
        }
        assertTrue(isAnswer(half.hear(), 1000));
        half.socket.close();
        gone(0, 4000 + SLACK);
    }

    /**
     * Told again and again while something is owed: nothing changes, and the end is the one of the
     * first time.
     */
    @Test
    public void aSecondSignalChangesNothing() throws Exception {
        signalled = 0;
        Talk client = up().say(ask(1));
        Talk rests = client();
        assertEquals(rests.say(command("PING")).hear(), "+PONG");
        Talk server = accept(servers[0]);
        server.hear();
        signal();
        Talk late = client().say(ask(2)); // still let in
        Talk second = accept(servers[0]);
        second.hear();
        signal();
        second.say(value("for " + id(2)));
        assertEquals(late.hear(), "for " + id(2));
        assertEquals(rests.hear(), null);
        signal();
        assertEquals(late.hear(), null);
        server.say(value("for " + id(1)));
        assertEquals(client.hear(), "for " + id(1));
        for (Talk t : List.of(client, rests, late)) {
            t.socket.close();
        }
        gone(400, 4000 + SLACK);
    }

    /**
     * Discovery has been asked and has not answered, so that the door is not open: nobody is owed
     * anything.
     */
    @Test
    public void aStartIsCutShort() throws Exception {
        signalled = 0;
        Files.writeString(config, configuration());
        gateway = start(Map.of("ROUTER_CONFIG", config.toString()));
        Talk watch = accept(discovery);
        assertTrue(watch.line().startsWith("GET "));
        signal();
        gone(0, 2000);
        assertEquals(Files.readString(log), "");
    }

    /**
     * Clients that come as the door opens, with the signal right behind the first of them:
     * answered, or never read.
     */
    @Test
    public void thoseWhoComeAsTheDoorOpensAreAnswered() throws Exception {
        serve(servers[0], true);
        Files.writeString(config, configuration());
        gateway = start(Map.of("ROUTER_CONFIG", config.toString()));
        Semaphore first = new Semaphore(0);
        List<String> wrong = new CopyOnWriteArrayList<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            int n = i;
            callers.add(
                    daemon(
                            () -> {
                                Talk t = null;
                                for (long until = System.nanoTime() + PATIENCE * 1_000_000L;
                                        t == null && System.nanoTime() < until; ) {
                                    try {
                                        t = client().say(ask(n));
                                    } catch (ConnectException e) {
                                        Thread.sleep(1);
                                    }
                                }
                                first.release();
                                String heard = t.hear();
                                if (!isAnswer(heard, n)) {
                                    wrong.add(n + ": " + heard);
                                }
                                t.socket.close();
                            }));
        }
        assertTrue(first.tryAcquire(PATIENCE, TimeUnit.MILLISECONDS));
        signal();
        for (Thread t : callers) {
            t.join(PATIENCE);
        }
        assertEquals(wrong, List.of());
        gone(400, 4000 + SLACK);
    }

    /**
     * It rests until the gateway ends its connection and writes in that moment: that req is read by
     * nobody, and it can tell.
     */
    @Test
    public void aReqBehindTheEndOfTheSendingIsSentOnNowhere() throws Exception {
        serve(servers[0], true);
        List<Talk> clients = new ArrayList<>(List.of(up()));
        for (int i = 0; i < 20; i++) {
            clients.add(client());
            if (i < 10) { // the others are in their silence from the first
                assertEquals(clients.get(1 + i).say(command("PING")).hear(), "+PONG");
            }
        }
        signal();
        List<Thread> callers = new ArrayList<>();
        List<String> heard = new CopyOnWriteArrayList<>();
        for (Talk t : clients) {
            int n = 100 + clients.indexOf(t);
            callers.add(
                    daemon(
                            () -> {
                                assertEquals(t.hear(), null);
                                for (int i = 0; i < 50; i++) {
                                    t.say(ask(100 * n + i)); // until the connection is gone
                                }
                                heard.add(String.valueOf(t.hear()));
                            }));
        }
        for (Thread t : callers) {
            t.join(PATIENCE);
        }
        gone(600, 4000 + SLACK);
        assertEquals(sentOn, Set.of());
        assertTrue(heard.stream().allMatch("null"::equals), heard.toString());
    }

    /** A value flows while the end comes, and is read with a stop of over a second: it is whole. */
    @Test
    public void aValueThatFlowsIsWhole() throws Exception {
        signalled = 0;
        int length = 4 << 20;
        Talk first = up();
        Socket s = new Socket();
        s.setReceiveBufferSize(8192);
        s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        Talk reads = new Talk(s).say(ask(1));
        Talk server = accept(servers[0]);
        server.hear();
        daemon(() -> server.say(value("x".repeat(length))));
        assertEquals(reads.line(), "$" + length);
        signal();
        assertEquals(first.hear(), null); // the connections end
        first.socket.close();
        assertEquals(reads.in.readNBytes(length / 4).length, length / 4);
        while (since() < 2000) { // it does not read
            Thread.sleep(10);
        }
        assertEquals(reads.in.readNBytes(3 * length / 4 + 2).length, 3 * length / 4 + 2);
        assertEquals(reads.line(), null);
        reads.socket.close();
        gone(1000, 4000 + SLACK);
    }
}
