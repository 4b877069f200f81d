import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Part of the build: plays a few reqs through the gateway, started as deploy/balancer.toml says, so that the JVM can
 * keep the classes that it loads in gateway/target/tinford.jsa. Starts are quicker with that file and the same without it; so
 * what goes wrong here is told, and does not fail the build.
 */
public final class Rehearse {
    private static final String SETTINGS = """
            {"Az":"a","Azs":["a"],"Classes":[{"Effect":"read_like","Group":"all","HardLimitUs":8000000,"LateWorth":0,
            "Name":"read","OnTimeUs":2000000,"Stream":false,"Value":1,"WindowUs":5000000}],"Discovery":"automatic",
            "Limits":{"Cancel":true,"ConnectTimeoutUs":250000,"KeepaliveUs":15000000,"MaxAttempts":3,
            "MaxRetryAfterUs":2000000,"MayDuplicate":false,"OpenCap":20000,"Peers":true,"Probes":false,
            "RetryAfter":true},"LoadInfo":{"Fields":[],"How":"silent"},"MyNumber":0,"NInstances":1,
            "ResultMix":{"Whole":1},"Rules":{"ColdFrom":0.3,"ColdUs":10000000,"FallMultiple":2,"FallUs":1000000},
            "Specifics":{"CountLimitUs":50000,"Counter":true,"PostPaid":true,"UnitsTop":1},"Tariffs":[{"MostAtOnce":40,
            "Name":"plan","OverrunCost":1,"Price":1,"QuotaRate":20}],"TickUs":2000}""";

    private Rehearse() {}

    public static void main(String[] args) throws Exception {
        Process gateway = null;
        Path config = Path.of("gateway", "target", "rehearsal.json");
        try {
            ServerSocket server = standIn("*3\r\n$2\r\nok\r\n$6\r\ncost=1\r\n$-1\r\n");
            ServerSocket counter = standIn("$1\r\n1\r\n");
            ServerSocket discovery = open();
            int listen;
            try (ServerSocket free = open()) {
                listen = free.getLocalPort();
            }
            Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"" + at(listen) + "\",\"discovery\":\""
                    + at(discovery.getLocalPort()) + "\",\"seed\":\"1\",\"limits\":{\"memory_mb\":192,\"sockets\":1024},"
                    + "\"peer_listen\":\"" + at(listen) + "\",\"peers\":[\"" + at(listen) + "\"],\"peers_all\":\""
                    + at(listen) + "\",\"counter\":\"" + at(counter.getLocalPort()) + "\",\"known\":{\"seq\":1,"
                    + "\"whole\":true,\"hosts\":[{\"host\":\"s\",\"dial\":\"" + at(server.getLocalPort())
                    + "\",\"site\":\"a\",\"block\":0,\"health\":\"ready\",\"share\":1,\"born_ms\":0}]},\"settings\":"
                    + SETTINGS + "}");
            ProcessBuilder start = new ProcessBuilder("/bin/sh", "-c", command());
            start.environment().put("TINFORD_CLASSES", "-XX:ArchiveClassesAtExit=gateway/target/tinford.jsa");
            start.environment().put("ROUTER_CONFIG", config.toString());
            start.redirectOutput(Path.of("gateway", "target", "rehearsal.log").toFile()).redirectErrorStream(true);
            gateway = start.start();
            int passed = play(listen);
            gateway.destroy();
            boolean ended = gateway.waitFor(20, TimeUnit.SECONDS);
            System.out.println("rehearsed: " + passed + " reqs passed" + (ended ? "" : ", but it did not end"));
        } catch (IOException e) {
            System.out.println("not rehearsed: " + e);
        } finally {
            if (gateway != null) {
                gateway.destroyForcibly();
            }
            Files.deleteIfExists(config);
        }
        System.exit(0);
    }

    private static String command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy", "balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    private static int play(int listen) throws Exception {
        Socket client = null;
        for (int i = 0; client == null; i++) {
            try {
                client = new Socket(InetAddress.getLoopbackAddress(), listen);
            } catch (IOException e) {
                if (i == 500) {
                    throw e;
                }
                Thread.sleep(20);
            }
        }
        client.setSoTimeout(5000);
        BufferedReader in = new BufferedReader(new InputStreamReader(client.getInputStream()));
        OutputStream out = client.getOutputStream();
        out.write(text("*1\r\n$4\r\nPING\r\n"));
        in.readLine();
        int passed = 0;
        for (int i = 0; i < 60; i++) {
            String terms = "c=read,t=plan,d=4000,units=1,spread=1,first=0";
            out.write(text("*4\r\n$5\r\nQ.ASK\r\n$16\r\n" + String.format("%016x", i % 30) + "\r\n$16\r\n"
                    + String.format("%016x", i) + "\r\n$" + terms.length() + "\r\n" + terms + "\r\n"));
            if (in.readLine().startsWith("$")) {
                in.readLine();
                passed++;
            }
        }
        return passed;
    }

    private static ServerSocket open() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    /** Gives the same answer to every command. */
    private static ServerSocket standIn(String answer) throws IOException {
        ServerSocket door = open();
        Thread thread = new Thread(() -> {
            while (true) {
                try {
                    Socket s = door.accept();
                    Thread talk = new Thread(() -> talk(s, answer));
                    talk.setDaemon(true);
                    talk.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return door;
    }

    private static void talk(Socket s, String answer) {
        byte[] bytes = new byte[4096];
        try (s; InputStream in = s.getInputStream()) {
            for (int n = in.read(bytes); n > 0; n = in.read(bytes)) {
                s.getOutputStream().write(text(answer));
            }
        } catch (IOException e) {
            return;
        }
    }

    private static String at(int port) {
        return "127.0.0.1:" + port;
    }

    private static byte[] text(String s) {
        return s.getBytes(StandardCharsets.US_ASCII);
    }
}
