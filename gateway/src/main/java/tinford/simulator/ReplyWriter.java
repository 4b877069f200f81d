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

/** Writes decisions as lines of the reply. */
final class ReplyWriter implements GatewayActions {
    private final OutputStream out;
    private final JsonGenerator json;
    private SimulatedGateway instance;

    ReplyWriter(JsonFactory factory, OutputStream out) throws IOException {
        this.out = new BufferedOutputStream(out, 1 << 16);
        this.json = factory.createGenerator(this.out);
        json.setRootValueSeparator(new SerializedString(""));
    }

    GatewayActions of(SimulatedGateway i) {
        instance = i;
        return this;
    }

    void done(long n) throws IOException {
        json.writeStartObject();
        json.writeObjectFieldStart("Done");
        json.writeNumberField("n", n);
        close();
        json.flush();
        out.flush();
    }

    private interface Fields {
        void write() throws IOException;
    }

    private void line(String name, Fields fields) {
        try {
            json.writeStartObject();
            json.writeObjectFieldStart(name);
            json.writeStringField("I", instance.name);
            fields.write();
            close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void close() throws IOException {
        json.writeEndObject();
        json.writeEndObject();
        json.writeRaw('\n');
    }

    private static long us(double ms) {
        return Math.round(ms * 1000);
    }

    @Override
    public void sendAttempt(Request req, Server srv, double cap, double within) {
        instance.sent(req);
        line(
                "PassOn",
                () -> {
                    json.writeNumberField("RequestId", req.id);
                    json.writeStringField("Server", srv.id);
                    json.writeNumberField("CapUs", us(cap));
                });
    }

    @Override
    public void cancelAttempt(Request req, int hop) {
        line(
                "StopAttempt",
                () -> {
                    json.writeNumberField("RequestId", req.id);
                    json.writeNumberField("Hop", hop);
                });
    }

    @Override
    public void reject(Request req, double retryAfter) {
        instance.answered(req);
        line(
                "Reject",
                () -> {
                    json.writeNumberField("RequestId", req.id);
                    json.writeNumberField("StayAwayUs", us(retryAfter));
                });
    }

    @Override
    public void fail(Request req) {
        instance.answered(req);
        line("ReportFailure", () -> json.writeNumberField("RequestId", req.id));
    }

    @Override
    public void setTimer(long token, double wait) {
        line(
                "Schedule",
                () -> {
                    json.writeNumberField("Name", token);
                    json.writeNumberField("WaitUs", us(wait));
                });
    }

    @Override
    public void sendHealthCheck(Server srv) {
        line("Poll", () -> json.writeStringField("Server", srv.id));
    }

    @Override
    public void closeIdleConnections(Server srv) {
        line("ShutIdle", () -> json.writeStringField("Server", srv.id));
    }

    @Override
    public void sendGossip(int peer, String text) {
        line(
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
    public void incrementCounter(long name, double amount, double keep) {
        line(
                "Incr",
                () -> {
                    json.writeNumberField("Name", name);
                    json.writeNumberField("N", amount);
                    json.writeNumberField("KeepForUs", us(keep));
                });
    }

    @Override
    public void watchEndpoints(boolean on) {
        line("Watch", () -> json.writeBooleanField("Enable", on));
    }

    @Override
    public void fetchEndpoints() {
        line("Resolve", () -> {});
    }

    @Override
    public void log(String text) {
        line("Debug", () -> json.writeStringField("BodyText", text));
    }
}
