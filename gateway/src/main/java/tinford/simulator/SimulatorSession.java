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
 * The simulator's wire: batches of lines in, a reply of lines out, many gateways in one process.
 */
public final class SimulatorSession {
    private final JsonFactory json = new JsonFactory();
    private final DecisionModule.Factory maker;
    private final Map<String, SimulatedGateway> up = new HashMap<>();
    private final Map<Long, List<JsonFields>> sheets = new HashMap<>();
    private int number;

    private SimulatorSession(DecisionModule.Factory maker) {
        this.maker = maker;
    }

    /** Serves until the input ends; the result is the exit code. */
    public static int serve(
            InputStream in, OutputStream out, PrintStream err, DecisionModule.Factory maker)
            throws IOException {
        SimulatorSession bench = new SimulatorSession(maker);
        try {
            bench.run(
                    new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16),
                    out);
            return 0;
        } catch (InvalidSettingsException e) {
            err.println("benchlink: " + e.getMessage());
            return 1;
        }
    }

    private void run(BufferedReader in, OutputStream out) throws IOException {
        ReplyWriter reply = new ReplyWriter(json, out);
        WireMessage mark = null;
        Set<SimulatedGateway> touched = new LinkedHashSet<>();
        for (String text = in.readLine(); text != null; text = in.readLine()) {
            number++;
            if (text.isEmpty()) {
                continue;
            }
            WireMessage line = WireMessage.parse(json, number, text);
            if (mark == null) {
                if (!line.name.equals("Mark")) {
                    throw new InvalidSettingsException(
                            "line " + number, line.name, "Mark at the start of a batch");
                }
                mark = line;
                continue;
            }
            switch (line.name) {
                case "Eob" -> {
                    double now = mark.number("TUs") / 1000;
                    for (SimulatedGateway i : touched) {
                        i.round(now, reply.of(i));
                    }
                    touched.clear();
                    reply.done(mark.integer("n"));
                    mark = null;
                }
                case "Table" -> sheets.put(line.integer("Sheet", 0), line.objects("Records"));
                default -> event(line, touched);
            }
        }
        if (mark != null) {
            throw new InvalidSettingsException(
                    "line " + number, "end of input", "Eob at the end of a batch");
        }
    }

    private void event(WireMessage line, Set<SimulatedGateway> touched) {
        String name = line.text("I");
        if (line.name.equals("Up")) {
            SimulatedGateway fresh = new SimulatedGateway(name, maker, line);
            SimulatedGateway old = up.put(name, fresh);
            touched.remove(old);
            touched.add(fresh);
            return;
        }
        SimulatedGateway to = up.get(name);
        if (to == null) {
            throw line.invalid("I", "an instance that is up, not " + name);
        }
        if (line.name.equals("Killed")) {
            touched.remove(up.remove(name));
            return;
        }
        if (line.name.equals("View") && !line.text("Scope").equals("refused")) {
            line.sheet = sheets.get(line.integer("Sheet", 0));
            if (line.sheet == null) {
                throw line.invalid("Sheet", "the number of a Table sent before");
            }
        }
        to.take(line);
        touched.add(to);
    }
}
