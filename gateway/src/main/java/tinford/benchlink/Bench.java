package tinford.benchlink;

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
import tinford.api.Gateway;
import tinford.handed.BadInput;
import tinford.handed.Fields;

/**
 * The simulator's wire: batches of lines in, a reply of lines out, many gateways in one process.
 */
public final class Bench {
    private final JsonFactory json = new JsonFactory();
    private final Gateway.Maker maker;
    private final Map<String, Instance> up = new HashMap<>();
    private final Map<Long, List<Fields>> sheets = new HashMap<>();
    private int number;

    private Bench(Gateway.Maker maker) {
        this.maker = maker;
    }

    /** Serves until the input ends; the result is the exit code. */
    public static int serve(InputStream in, OutputStream out, PrintStream err, Gateway.Maker maker)
            throws IOException {
        Bench bench = new Bench(maker);
        try {
            bench.run(
                    new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16),
                    out);
            return 0;
        } catch (BadInput e) {
            err.println("benchlink: " + e.getMessage());
            return 1;
        }
    }

    private void run(BufferedReader in, OutputStream out) throws IOException {
        Reply reply = new Reply(json, out);
        Line mark = null;
        Set<Instance> touched = new LinkedHashSet<>();
        for (String text = in.readLine(); text != null; text = in.readLine()) {
            number++;
            if (text.isEmpty()) {
                continue;
            }
            Line line = Line.parse(json, number, text);
            if (mark == null) {
                if (!line.name.equals("Mark")) {
                    throw new BadInput("line " + number, line.name, "Mark at the start of a batch");
                }
                mark = line;
                continue;
            }
            switch (line.name) {
                case "Eob" -> {
                    double now = mark.real("TUs") / 1000;
                    for (Instance i : touched) {
                        i.round(now, reply.of(i));
                    }
                    touched.clear();
                    reply.done(mark.whole("n"));
                    mark = null;
                }
                case "Table" -> sheets.put(line.whole("Sheet", 0), line.parts("Records"));
                default -> event(line, touched);
            }
        }
        if (mark != null) {
            throw new BadInput("line " + number, "end of input", "Eob at the end of a batch");
        }
    }

    private void event(Line line, Set<Instance> touched) {
        String name = line.text("I");
        if (line.name.equals("Up")) {
            Instance fresh = new Instance(name, maker, line);
            Instance old = up.put(name, fresh);
            touched.remove(old);
            touched.add(fresh);
            return;
        }
        Instance to = up.get(name);
        if (to == null) {
            throw line.bad("I", "an instance that is up, not " + name);
        }
        if (line.name.equals("Killed")) {
            touched.remove(up.remove(name));
            return;
        }
        if (line.name.equals("View") && !line.text("Scope").equals("refused")) {
            line.sheet = sheets.get(line.whole("Sheet", 0));
            if (line.sheet == null) {
                throw line.bad("Sheet", "the number of a Table sent before");
            }
        }
        to.take(line);
        touched.add(to);
    }
}
