package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Connections to servers that end, or come up, at the wrong instant: what their reqs are answered,
 * and what is sent on.
 */
public class ServerEndsTest extends Surroundings {
    private static final String VALUE = value("for " + id(1));
    private final List<String> came =
            new CopyOnWriteArrayList<>(); // the server's number, and the req's id

    /** What a server does with the first dispatch of the first req, wherever it goes. */
    private interface First {
        void play(Talk server) throws Exception;
    }

    private static void reset(Talk t) throws IOException {
        t.socket.setSoLinger(true, 0);
        t.socket.close();
    }

    /** Both servers answer every command but that one. */
    private void serve(First first) {
        AtomicBoolean begun = new AtomicBoolean();
        for (int i = 0; i < 2; i++) {
            int n = i;
            daemon(
                    () -> {
                        while (true) {
                            Talk t = accept(servers[n]);
                            daemon(
                                    () -> {
                                        for (String s = t.hear(); s != null; s = t.hear()) {
                                            String id = s.split(" ")[2];
                                            came.add(n + " " + id);
                                            if (id.equals(id(1)) && !begun.getAndSet(true)) {
                                                first.play(t);
                                            } else {
                                                t.say(value("for " + id));
                                            }
                                        }
                                    });
                        }
                    });
        }
    }

    private Talk upWithTwo() throws Exception {
        came.clear();
        return up(
                entry(0, servers[0], "ready"),
                entry(0, servers[0], "ready") + "," + entry(1, servers[1], "ready"));
    }

    private static String req(int n, String frontend, int patience) {
        return command(
                frontend.equals("read") ? "Q.ASK" : "Q.DO",
                id(7),
                id(n),
                terms(frontend, frontend.equals("marked") ? ",k=5c0f6e1a2b3d4c59" : "")
                        .replace("d=4000", "d=" + patience));
    }

    @DataProvider
    public Object[][] ends() {
        List<Object[]> rows = new ArrayList<>();
        for (String frontend : new String[] {"read", "write", "marked"}) {
            for (String part : new String[] {"", "-ER", VALUE.substring(0, VALUE.length() - 1)}) {
                rows.add(new Object[] {frontend, "reset", part});
            }
            for (String part : new String[] {"*", VALUE.substring(0, VALUE.length() - 1)}) {
                rows.add(new Object[] {frontend, "silence", part});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    private static String allowed(String frontend) {
        return "for " + id(1) + "|" + (frontend.equals("read") ? "-BUSY \\d+" : "-ERR aborted");
    }

    /**
     * Where it can't be told whether it ran: one answer, never a success; no second dispatch where
     * that could do harm.
     */
    @Test(dataProvider = "ends")
    public void aDispatchThatEndsInPartIsAnsweredOnceAndSentOnAsItsKindAllows(
            String frontend, String end, String part) throws Exception {
        Talk client = upWithTwo();
        serve(
                t -> {
                    t.say(part);
                    if (end.equals("reset")) {
                        reset(t);
                    }
                });
        long from = System.nanoTime();
        String heard = client.say(req(1, frontend, 4000)).hear();
        assertTrue(System.nanoTime() - from < 1_500_000_000L, "only by its time: " + heard);
        settled(client, frontend, heard);
    }

    private void settled(Talk client, String frontend, String heard) throws IOException {
        assertTrue(
                heard.matches(frontend.equals("write") ? "-ERR aborted" : allowed(frontend)),
                heard);
        for (int n = 2; !heard.equals("for " + id(n - 1)) || n == 2; n++) {
            assertTrue(n < 60, heard);
            assertEquals(
                    client.say(command("PING") + ask(n)).hear(),
                    "+PONG"); // nothing of the first req comes in between
            heard = client.hear();
            assertTrue(heard.equals("for " + id(n)) || heard.matches("-BUSY \\d+"), heard);
        }
        List<String> first = came.stream().filter(s -> s.endsWith(id(1))).toList();
        assertTrue(
                frontend.equals("read")
                        ? first.size() <= 3
                        : frontend.equals("write")
                                ? first.size() == 1
                                : first.stream().distinct().count() == 1,
                first.toString()); // a group is one cell here, and each server its own
    }

    @DataProvider
    public Object[][] frontends() {
        return new Object[][] {{"read"}, {"write"}, {"marked"}};
    }

    /** The answer comes when its client has had the final one: for nobody. */
    @Test(dataProvider = "frontends")
    public void anAnswerBehindItsTimeIsNobodys(String frontend) throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch late = new CountDownLatch(1);
        Talk client = upWithTwo();
        serve(
                t -> {
                    answered.await();
                    try {
                        t.say(VALUE).say(VALUE);
                    } finally {
                        late.countDown();
                    }
                });
        String heard = client.say(req(1, frontend, 500)).hear();
        answered.countDown();
        late.await();
        assertTrue(heard.startsWith("-"), heard);
        settled(client, frontend, heard);
    }

    @DataProvider
    public Object[][] seconds() {
        return new Object[][] {{VALUE}, {"-BUSY\r\n"}, {VALUE.substring(0, 9)}};
    }

    /**
     * A second answer on a connection that has rested for longer than what is on its way takes: the
     * next req goes elsewhere.
     */
    @Test(dataProvider = "seconds")
    public void aSecondAnswerOnARestingConnectionEndsIt(String second) throws Exception {
        Talk client = up();
        client.say(ask(1));
        Talk server = accept(servers[0]);
        server.hear();
        server.say(VALUE);
        assertEquals(client.hear(), "for " + id(1));
        rest(client);
        server.say(second);
        client.say(req(2, "write", 4000));
        Talk next = accept(servers[0]);
        assertTrue(next.hear().contains(id(2)));
        assertEquals(server.hear(), null);
        next.say(value("two"));
        assertEquals(client.hear(), "two");
    }

    @DataProvider
    public Object[][] lateConnections() {
        return new Object[][] {
            {"read", true}, {"write", true}, {"read", false}, {"write", false}, {"marked", false}
        };
    }

    /**
     * The machine of its server lets no connection come up until the req is over, by its client or
     * by its time.
     */
    @Test(dataProvider = "lateConnections")
    public void aConnectionThatComesUpBehindItsReqCarriesNothing(String frontend, boolean closes)
            throws Exception {
        servers[0].close();
        servers[0] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        servers[0].setSoTimeout(PATIENCE);
        open.add(servers[0]);
        Talk client = up("\"ConnectTimeoutUs\":250000", "\"ConnectTimeoutUs\":20000000");
        Talk other = client();
        for (int i = 0; i < 2; i++) { // what the backlog holds
            open.add(new Socket(InetAddress.getLoopbackAddress(), servers[0].getLocalPort()));
        }
        long from = System.nanoTime();
        client.say(req(1, frontend, closes ? 4000 : 500));
        if (closes) {
            rest(other);
            client.socket.close();
            rest(other);
        } else {
            assertTrue(client.hear().startsWith("-BUSY")); // it has surely not run
        }
        for (int i = 0; i < 2; i++) {
            accept(servers[0]).socket.close();
        }
        other.say(req(2, "write", 4000));
        int answered = 0;
        // a connection that was not given up comes up when its opening is sent again, 1 s behind
        // the first
        for (long left = 2;
                left > 0 || answered == 0;
                left = 1500 - (System.nanoTime() - from) / 1_000_000) {
            servers[0].setSoTimeout(answered == 0 ? PATIENCE : (int) left);
            try {
                Talk t = accept(servers[0]);
                String s = t.hear();
                assertTrue(s == null || s.contains(id(2)), s);
                if (s != null) {
                    answered++;
                    t.say(value("two"));
                }
            } catch (SocketTimeoutException e) {
                break;
            }
        }
        assertEquals(answered, 1);
        assertEquals(other.hear(), "two");
    }
}
