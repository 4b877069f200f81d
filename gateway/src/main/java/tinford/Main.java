package tinford;

import java.io.IOException;
import tinford.benchlink.Bench;
import tinford.logs.Lines;
import tinford.program.Serve;

/** Picks the front through which the decisions are asked. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("serve")) {
            int code = Serve.start(System.getenv(), System.err, Decide::new);
            if (code >= 0) {
                Lines.flush(100);
                System.exit(code);
            }
            return;
        }
        if (args.length == 1 && args[0].equals("benchlink")) {
            System.exit(Bench.serve(System.in, System.out, System.err, Decide::new));
        }
        System.err.println("usage: java -jar tinford.jar serve | benchlink");
        System.exit(2);
    }
}
