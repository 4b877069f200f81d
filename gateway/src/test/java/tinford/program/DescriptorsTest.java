package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.transport.HandoverLock;

/**
 * Crowds of idle clients against what the gateway itself needs, under the limit that the machine
 * sets.
 */
public class DescriptorsTest extends Surroundings {
    private int limit;

    /** The machine refuses what is beyond the limit handed. */
    @Override
    List<String> program() {
        List<String> line =
                new ArrayList<>(
                        List.of("/bin/sh", "-c", "ulimit -n " + limit + "; exec \"$@\"", "sh"));
        line.addAll(super.program());
        return line;
    }

    /** No idle client goes by its time. */
    @Override
    String configuration() {
        return super.configuration()
                .replace("\"sockets\":1024", "\"sockets\":" + limit)
                .replace("\"KeepaliveUs\":15000000", "\"KeepaliveUs\":600000000");
    }

    private int held() throws IOException {
        try (var all = Files.list(Path.of("/proc/" + gateway.pid() + "/fd"))) {
            return (int) all.count();
        }
    }

    /** The list that takes s0 out and s1 in, to whoever asks on this door. */
    private void tell(ServerSocket at) {
        Thread door =
                new Thread(
                        () -> {
                            while (!at.isClosed()) {
                                try {
                                    Talk t = accept(at);
                                    if (t.line() != null) {
                                        chunk(
                                                t,
                                                "{\"seq\":43,\"whole\":true,\"hosts\":["
                                                        + entry(1, servers[1], "ready")
                                                        + "]}\n",
                                                true);
                                    }
                                } catch (IOException e) {
                                    // that one was given up before discovery came back
                                }
                            }
                        });
        door.setDaemon(true);
        door.start();
    }

    /** A client that comes now is answered before a silent one would have gone by its time. */
    private String answerTo(int n) throws IOException {
        long from = System.nanoTime();
        String heard = client().say(ask(n)).hear();
        assertTrue(
                System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(1500),
                "heard late: " + heard);
        return heard;
    }

    /**
     * Descriptors handed; whether another process of the gateway has its part; whether idle ones
     * ask once; discovery when down.
     */
    @DataProvider
    public Object[][] crowds() {
        return new Object[][] {
            {64, false, false, false},
            {64, false, true, true},
            {96, false, true, false},
            {128, false, false, true},
            {128, true, false, false},
            {128, true, true, true},
            {256, true, true, false},
            {1024, true, true, false},
        };
    }

    @Test(dataProvider = "crowds")
    public void idleClientsTakeNothingThatTheGatewayNeeds(
            int sockets, boolean beside, boolean ask, boolean refuses) throws Exception {
        limit = sockets;
        if (beside) {
            share();
            assertTrue(
                    new HandoverLock(shared, "n0")
                            .isOnlyProcess()); // this test is the other process
            gateway = managed(free(), log);
        } else {
            up();
        }
        Talk watch = accept(discovery);
        assertEquals(watch.line(), "GET /registry/instances?watch=1&after=41 HTTP/1.1");
        chunk(watch, "\n", true);
        List<Talk> lanes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            lanes.add(accept(counter));
        }
        int most = held();
        for (int i = 0; i < 2 * sockets; i++) {
            try {
                Talk t = client();
                t.say(ask ? command("PING") : "");
            } catch (IOException e) {
                // turned away
            }
            most = Math.max(most, held());
        }
        int told = discovery.getLocalPort();
        if (refuses) {
            discovery.close();
        }
        watch.socket.close();
        for (Talk t : lanes) {
            t.socket.close();
        }
        for (int i = 0; i < 4; i++) {
            accept(counter);
        }
        serveAll(servers[0]);
        assertEquals(answerTo(1), "for " + id(1));
        most = Math.max(most, held());
        servers[0].close();
        serveAll(servers[1]);
        ServerSocket back =
                refuses ? new ServerSocket(told, 50, InetAddress.getLoopbackAddress()) : discovery;
        open.add(back);
        tell(back);
        String heard = "";
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(6);
        for (int n = 2; !heard.startsWith("for ") && System.nanoTime() < until; n++) {
            heard = answerTo(n); // denied until the list is taken
        }
        assertTrue(heard.startsWith("for "), heard);
        most = Math.max(most, held());
        assertTrue(most < sockets, most + " held");
    }

    /**
     * All places are taken by clients at work, and one more stands where nobody sees it: it is let
     * in once they rest.
     */
    @Test
    public void whoeverWaitsBehindClientsAtWorkIsLetInOnceTheyRest() throws Exception {
        limit = 64;
        List<Talk> work = new ArrayList<>(List.of(up()));
        Talk waits = null;
        for (int i = 0; waits == null && i < limit; i++) {
            Talk t = client().say(command("PING") + "*1\r\n$4\r\nPI");
            t.socket.setSoTimeout(500);
            try {
                assertEquals(t.hear(), "+PONG");
                work.add(t);
            } catch (SocketTimeoutException e) {
                waits = t;
            }
        }
        for (Talk t : work.subList(1, work.size())) {
            t.say("NG\r\n");
        }
        waits.socket.setSoTimeout(1500);
        assertEquals(waits.hear(), "+PONG");
    }
}
