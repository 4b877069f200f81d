package tinford.fleet.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.http.HttpConnectTimeoutException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.Proposal;

/**
 * Sends a proposal to one server after the other until it is decided. It carries the same id each
 * time, so it comes into force once at most.
 */
final class ProposalSender {
    private static final long PAUSE_MS = 200;

    private final ControlClient client = new ControlClient();
    private final List<InetSocketAddress> servers;
    private final PrintWriter out;
    private final PrintWriter err;
    private boolean perhapsTaken;
    private String reason = "";

    ProposalSender(List<InetSocketAddress> servers, PrintWriter out, PrintWriter err) {
        this.servers = servers;
        this.out = out;
        this.err = err;
    }

    /** Returns an {@link ExitCode}. */
    int send(Proposal proposal, long withinMs) throws InterruptedException {
        byte[] body = ConfigurationCodec.encode(proposal);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        do {
            for (InetSocketAddress server : servers) {
                ControlClient.Answer answer = answerOf(server, body);
                if (answer != null) {
                    return decided(proposal, answer);
                }
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        } while (System.nanoTime() < deadline);
        tellUndecided(proposal);
        return ExitCode.UNAVAILABLE;
    }

    /** Null where that server could not decide. */
    private ControlClient.Answer answerOf(InetSocketAddress server, byte[] body)
            throws InterruptedException {
        String name = server.getHostString() + ":" + server.getPort();
        try {
            ControlClient.Answer answer = client.post(server, "/proposals", body);
            if (answer.status() != StatusCodes.SERVICE_UNAVAILABLE) {
                return answer;
            }
            boolean surelyNot = answer.body().path("taken").asText().equals("no");
            note(!surelyNot, name + ": " + answer.body().path("reason").asText());
        } catch (IOException e) {
            note(mayHaveArrived(e), name + ": " + e);
        }
        return null;
    }

    /** The reason of a server that may have taken it tells more than that of one that did not. */
    private void note(boolean perhaps, String why) {
        if (perhaps || !perhapsTaken) {
            reason = why;
        }
        perhapsTaken |= perhaps;
    }

    private void tellUndecided(Proposal proposal) {
        String taken = perhapsTaken ? "perhaps not taken" : "surely not taken";
        err.println(taken + ", proposal " + proposal.id() + ": " + reason);
    }

    private static boolean mayHaveArrived(IOException failure) {
        return !(failure instanceof ConnectException)
                && !(failure instanceof HttpConnectTimeoutException);
    }

    private int decided(Proposal proposal, ControlClient.Answer answer) {
        if (answer.status() == StatusCodes.OK) {
            out.println("revision " + answer.body().path("revision").asLong());
            return ExitCode.OK;
        }
        JsonNode faults = answer.body().path("faults");
        if (faults.isEmpty()) {
            err.println("proposal " + proposal.id() + ": answered with " + answer.status());
            return ExitCode.UNAVAILABLE;
        }
        for (JsonNode fault : faults) {
            err.println(
                    fault.path("key").asText() + ": expected " + fault.path("expected").asText());
        }
        return ExitCode.REFUSED;
    }
}
