package tinford.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import tinford.api.GatewayActions;
import tinford.api.Request;
import tinford.api.Server;

/** Writes the actions of decision modules as messages of the simulator protocol, one per line. */
final class ReplyWriter implements GatewayActions {
    private static final int WRITE_BUFFER_BYTES = 1 << 16;
    private static final double US_PER_MS = 1000;

    private final OutputStream out;
    private final JsonGenerator json;
    private SimulatedGateway gateway;

    /** Creates a writer; the caller remains responsible for closing the stream. */
    ReplyWriter(JsonFactory factory, OutputStream out) throws IOException {
        this.out = new BufferedOutputStream(out, WRITE_BUFFER_BYTES);
        this.json = factory.createGenerator(this.out);
        json.setRootValueSeparator(new SerializedString(""));
    }

    /** Returns this writer, which attributes actions to the gateway until the next call. */
    GatewayActions actionsOf(SimulatedGateway actingGateway) {
        gateway = actingGateway;
        return this;
    }

    /** Ends the reply to a batch and flushes it. */
    void endBatch(long batchNumber) throws IOException {
        startMessage("Done");
        json.writeNumberField("n", batchNumber);
        endMessage();
        json.flush();
        out.flush();
    }

    /** Writes the fields of a message. */
    private interface FieldsWriter {
        void write() throws IOException;
    }

    private void writeAction(String type, FieldsWriter fields) {
        try {
            startMessage(type);
            json.writeStringField("I", gateway.name());
            fields.write();
            endMessage();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void startMessage(String type) throws IOException {
        json.writeStartObject();
        json.writeObjectFieldStart(type);
    }

    private void endMessage() throws IOException {
        json.writeEndObject();
        json.writeEndObject();
        json.writeRaw('\n');
    }

    private void writeTime(String field, double timeMs) throws IOException {
        json.writeNumberField(field, Math.round(timeMs * US_PER_MS));
    }

    @Override
    public void sendAttempt(Request request, Server server, double timeoutMs, double sendWithinMs) {
        gateway.attemptSent(request);
        writeAction(
                "PassOn",
                () -> {
                    json.writeNumberField("RequestId", request.id);
                    json.writeStringField("Server", server.id);
                    writeTime("CapUs", timeoutMs);
                });
    }

    @Override
    public void cancelAttempt(Request request, int attempt) {
        writeAction(
                "StopAttempt",
                () -> {
                    json.writeNumberField("RequestId", request.id);
                    json.writeNumberField("Hop", attempt);
                });
    }

    @Override
    public void reject(Request request, double retryAfterMs) {
        gateway.answered(request);
        writeAction(
                "Reject",
                () -> {
                    json.writeNumberField("RequestId", request.id);
                    writeTime("StayAwayUs", retryAfterMs);
                });
    }

    @Override
    public void fail(Request request) {
        gateway.answered(request);
        writeAction("ReportFailure", () -> json.writeNumberField("RequestId", request.id));
    }

    @Override
    public void setTimer(long token, double delayMs) {
        writeAction(
                "Schedule",
                () -> {
                    json.writeNumberField("Name", token);
                    writeTime("WaitUs", delayMs);
                });
    }

    @Override
    public void sendHealthCheck(Server server) {
        writeAction("Poll", () -> json.writeStringField("Server", server.id));
    }

    @Override
    public void closeIdleConnections(Server server) {
        writeAction("ShutIdle", () -> json.writeStringField("Server", server.id));
    }

    @Override
    public void sendGossip(int peer, String text) {
        writeAction(
                "Publish",
                () -> {
                    if (peer < 0) {
                        json.writeNullField("Whom");
                    } else {
                        json.writeNumberField("Whom", peer);
                    }
                    json.writeStringField("Blob", text);
                });
    }

    @Override
    public void incrementCounter(long counterKey, double amount, double ttlMs) {
        writeAction(
                "Incr",
                () -> {
                    json.writeNumberField("Name", counterKey);
                    json.writeNumberField("N", amount);
                    writeTime("KeepForUs", ttlMs);
                });
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        writeAction("Watch", () -> json.writeBooleanField("Enable", enabled));
    }

    @Override
    public void fetchEndpoints() {
        writeAction("Resolve", () -> {});
    }

    @Override
    public void log(String text) {
        writeAction("Debug", () -> json.writeStringField("BodyText", text));
    }
}
