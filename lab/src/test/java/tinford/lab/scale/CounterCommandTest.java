package tinford.lab.scale;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import tinford.lab.sockets.SingleGateway;

/** The counted bytes are those that a gateway sends. */
public class CounterCommandTest {
    private static final int LINES_OF_A_CALL = 9;

    @Test
    public void bytesOfACallAndOfItsAnswer() {
        String call = "*4\r\n$7\r\nCNT.ADD\r\n$3\r\n123\r\n$1\r\n2\r\n$4\r\n1500\r\n";
        assertEquals(CounterCommand.callBytes(123, 2, 1500), call.length());
        assertEquals(CounterCommand.answerBytes(2.5), "$8\r\n2.500000\r\n".length());
        assertEquals(CounterCommand.answerBytes(12), "$2\r\n12\r\n".length());
    }

    @Test(timeOut = 60_000)
    public void theSameAsARealGatewaysCall() throws Exception {
        BlockingQueue<String> calls = new LinkedBlockingQueue<>();
        try (ScratchFolder folder = new ScratchFolder();
                ServerSocket counter = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                SingleGateway gateway =
                        new SingleGateway(1, 4, folder.path(), counter.getLocalPort())) {
            run(() -> acceptAll(counter, calls));
            gateway.start();
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), gateway.port())) {
                client.getOutputStream().write(ask().getBytes(StandardCharsets.US_ASCII));
                String call = calls.poll(20, TimeUnit.SECONDS);
                String[] lines = call.split("\r\n");
                int counted =
                        CounterCommand.callBytes(
                                Long.parseLong(lines[4]),
                                Double.parseDouble(lines[6]),
                                Double.parseDouble(lines[8]));
                assertEquals(counted, call.length(), call);
            }
        }
    }

    /** A request of a tenant whose id takes 32 bits. */
    private static String ask() {
        String[] words = {
            "Q.DO",
            "00000000b4d65521",
            "9b1f03aa5c7e2d41",
            "c=service-000/route-0000,t=small,d=480,units=2,k=1"
        };
        StringBuilder command = new StringBuilder("*4\r\n");
        for (String word : words) {
            command.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return command.toString();
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void run(Step step) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (IOException e) {
                                // the test is over
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void acceptAll(ServerSocket counter, BlockingQueue<String> calls)
            throws IOException {
        while (true) {
            Socket connection = counter.accept();
            run(() -> calls.add(readCall(connection)));
        }
    }

    private static String readCall(Socket connection) throws IOException {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(
                                connection.getInputStream(), StandardCharsets.US_ASCII));
        StringBuilder call = new StringBuilder();
        for (int i = 0; i < LINES_OF_A_CALL; i++) {
            String line = in.readLine();
            if (line == null) {
                throw new IOException("the connection ended before a call");
            }
            call.append(line).append("\r\n");
        }
        return call.toString();
    }
}
