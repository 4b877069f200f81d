package tinford.lab;

import picocli.CommandLine;

/** The command line, as tests call it. */
public final class LabLine {
    private LabLine() {}

    public static CommandLine of() {
        return Lab.line();
    }
}
