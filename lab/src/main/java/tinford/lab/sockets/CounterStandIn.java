package tinford.lab.sockets;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import tinford.api.AttemptOutcome;
import tinford.lab.model.CounterStore;

/** One gateway's way to the counter, whose store all gateways share. */
final class CounterStandIn {
    private final BenchContext context;
    private final CounterStore store;
    private final ServerSocket listener = BenchContext.listen();
    private volatile boolean cutOff;

    CounterStandIn(BenchContext context, CounterStore store) throws IOException {
        this.context = context;
        this.store = store;
        context.accept(listener, wire -> context.pool.execute(() -> serve(wire)));
    }

    int port() {
        return listener.getLocalPort();
    }

    /** While it is, calls get no answer. */
    void cutOff(boolean on) {
        cutOff = on;
    }

    private void serve(RespConnection wire) {
        // of the agenda's thread: answers in the order of the calls
        ArrayDeque<String[]> answers = new ArrayDeque<>();
        try (wire) {
            for (String[] words = wire.words(); words != null; words = wire.words()) {
                String[] call = words;
                context.live.post(() -> add(wire, answers, call));
            }
        } catch (IOException | RuntimeException e) {
            // the gateway has another
        }
    }

    private void add(RespConnection wire, ArrayDeque<String[]> answers, String[] call) {
        String[] answer = new String[1];
        answers.add(answer);
        if (cutOff) {
            return;
        }
        store.add(
                Long.parseLong(call[1]),
                Double.parseDouble(call[2]),
                Double.parseDouble(call[3]),
                (how, total) -> {
                    answer[0] =
                            how == AttemptOutcome.SUCCESS
                                    ? bulk(Double.toString(total))
                                    : "-BUSY\r\n";
                    sendReady(wire, answers);
                });
    }

    private static String bulk(String text) {
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }

    private static void sendReady(RespConnection wire, ArrayDeque<String[]> answers) {
        try {
            while (!answers.isEmpty() && answers.peek()[0] != null) {
                wire.say(answers.poll()[0]);
            }
        } catch (IOException e) {
            wire.close();
        }
    }

    void close() throws IOException {
        listener.close();
    }
}
