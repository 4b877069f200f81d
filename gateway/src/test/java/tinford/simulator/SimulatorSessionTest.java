package tinford.simulator;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.decision.DecisionEngine;

/** Batches without events, and invalid input. */
public class SimulatorSessionTest {
    private static final String BATCH_START = "{\"Mark\":{\"TUs\":5000,\"n\":1}}\n";
    private static final String BATCH_END = "{\"Eob\":{}}\n";

    private final ByteArrayOutputStream reply = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int serve(String input) throws IOException {
        reply.reset();
        errors.reset();
        return SimulatorSession.serve(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                reply,
                new PrintStream(errors, true, StandardCharsets.UTF_8),
                DecisionEngine::new);
    }

    @Test
    public void emptyBatchIsAnswered() throws IOException {
        assertEquals(serve(BATCH_START + "\n" + BATCH_END), 0);
        assertEquals(reply.toString(StandardCharsets.UTF_8), "{\"Done\":{\"n\":1}}\n");
        assertEquals(errors.toString(StandardCharsets.UTF_8), "");
    }

    @Test
    public void endOfInputBetweenBatchesIsNoError() throws IOException {
        assertEquals(serve(""), 0);
        assertEquals(reply.size(), 0);
    }

    /** Input, expected error message. */
    @DataProvider
    Object[][] invalidInputs() {
        return new Object[][] {
            {"{\"Mark\"", "line 1: message: expected JSON on one line"},
            {"[]", "line 1: message: expected an object with one key"},
            {"{}", "line 1: message: expected an object with one key"},
            {"{\"Mark\":1}", "line 1: Mark: expected an object of fields"},
            {"{\"Mark\":{}} {}", "line 1: Mark: expected nothing after the message"},
            {BATCH_END, "line 1: Eob: expected Mark at the start of a batch"},
            {BATCH_START, "line 1: end of input: expected Eob at the end of a batch"},
            {"{\"Mark\":{\"n\":1}}\n" + BATCH_END, "line 1: Mark.TUs: expected a number"},
            {BATCH_START + "{\"Alarm\":{}}\n", "line 2: Alarm.I: expected a text"},
            {
                BATCH_START + "\n{\"Alarm\":{\"I\":\"gateway_1\"}}\n",
                "line 3: Alarm.I: expected an instance that is up, not gateway_1"
            },
            {
                BATCH_START + "{\"Table\":{\"Sheet\":1}}\n",
                "line 2: Table.Records: expected an array of objects"
            },
            {
                BATCH_START + "{\"Up\":{\"I\":\"gateway_1\",\"Prng\":1}}\n",
                "line 2: Up.Options: expected an object"
            },
        };
    }

    @Test(dataProvider = "invalidInputs")
    public void invalidInputEndsTheSessionWithOneLine(String input, String message)
            throws IOException {
        assertEquals(serve(input), 1);
        assertEquals(
                errors.toString(StandardCharsets.UTF_8),
                "benchlink: " + message + System.lineSeparator());
    }
}
