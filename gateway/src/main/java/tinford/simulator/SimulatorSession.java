package tinford.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tinford.api.DecisionModule;
import tinford.settings.InvalidSettingsException;
import tinford.settings.JsonFields;

/**
 * Serves the simulator protocol: reads batches of events for many gateways, one message per line,
 * and writes the actions of each batch as one reply.
 */
public final class SimulatorSession {
    private static final int READ_BUFFER_CHARS = 1 << 16;
    private static final double US_PER_MS = 1000;

    private final JsonFactory json = new JsonFactory();
    private final DecisionModule.Factory moduleFactory;
    private final ReplyWriter reply;
    private final Map<String, SimulatedGateway> gateways = new HashMap<>();

    /** Endpoint lists by number; a number may be reused. */
    private final Map<Long, List<JsonFields>> endpointLists = new HashMap<>();

    /** The gateways with events in the current batch, in the order of their first event. */
    private final Set<SimulatedGateway> gatewaysInBatch = new LinkedHashSet<>();

    /** The message that opened the current batch, or null between batches. */
    private WireMessage batchStart;

    private int lineNumber;

    private SimulatorSession(DecisionModule.Factory moduleFactory, OutputStream out)
            throws IOException {
        this.moduleFactory = moduleFactory;
        this.reply = new ReplyWriter(json, out);
    }

    /**
     * Serves until the input ends.
     *
     * @param err receives one line that describes the error if the input is invalid
     * @return the exit code: 0, or 1 if the input is invalid
     * @throws IOException if the input can't be read or the reply can't be written
     */
    public static int serve(
            InputStream in, OutputStream out, PrintStream err, DecisionModule.Factory moduleFactory)
            throws IOException {
        SimulatorSession session = new SimulatorSession(moduleFactory, out);
        try {
            session.run(
                    new BufferedReader(
                            new InputStreamReader(in, StandardCharsets.UTF_8), READ_BUFFER_CHARS));
            return 0;
        } catch (InvalidSettingsException e) {
            err.println("benchlink: " + e.getMessage());
            return 1;
        }
    }

    private void run(BufferedReader in) throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            lineNumber++;
            if (!line.isEmpty()) {
                handle(WireMessage.parse(json, lineNumber, line));
            }
        }
        if (batchStart != null) {
            throw new InvalidSettingsException(
                    WireMessage.source(lineNumber), "end of input", "Eob at the end of a batch");
        }
    }

    private void handle(WireMessage message) throws IOException {
        if (batchStart == null) {
            if (!message.type().equals("Mark")) {
                throw message.unexpected("Mark at the start of a batch");
            }
            batchStart = message;
            return;
        }
        switch (message.type()) {
            case "Eob" -> endBatch();
            case "Table" ->
                    endpointLists.put(message.integer("Sheet", 0), message.objects("Records"));
            default -> handleEvent(message);
        }
    }

    private void endBatch() throws IOException {
        double nowMs = batchStart.number("TUs") / US_PER_MS;
        for (SimulatedGateway gateway : gatewaysInBatch) {
            gateway.handleBatch(nowMs, reply.actionsOf(gateway));
        }
        gatewaysInBatch.clear();
        reply.endBatch(batchStart.integer("n"));
        batchStart = null;
    }

    private void handleEvent(WireMessage event) {
        String name = event.text("I");
        if (event.type().equals("Up")) {
            start(name, event);
            return;
        }
        SimulatedGateway gateway = gateways.get(name);
        if (gateway == null) {
            throw event.invalid("I", "an instance that is up, not " + name);
        }
        if (event.type().equals("Killed")) {
            gatewaysInBatch.remove(gateways.remove(name));
            return;
        }
        if (event.type().equals("View") && !event.text("Scope").equals("refused")) {
            attachEndpointList(event);
        }
        gateway.add(event);
        gatewaysInBatch.add(gateway);
    }

    private void start(String name, WireMessage event) {
        SimulatedGateway started = new SimulatedGateway(name, moduleFactory, event);
        SimulatedGateway replaced = gateways.put(name, started);
        gatewaysInBatch.remove(replaced);
        gatewaysInBatch.add(started);
    }

    private void attachEndpointList(WireMessage event) {
        List<JsonFields> entries = endpointLists.get(event.integer("Sheet", 0));
        if (entries == null) {
            throw event.invalid("Sheet", "the number of a Table that was sent before");
        }
        event.attachEndpointEntries(entries);
    }
}
