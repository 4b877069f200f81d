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
import tinford.fleet.control.ProposalResult.CommitStatus;

/**
 * Sends a proposal to one server after another until it is decided. It has the same id in each
 * attempt, so it takes effect at most once.
 */
final class ProposalSender {
    private static final long RETRY_INTERVAL_MS = 200;

    private final ControlClient client = new ControlClient();
    private final List<InetSocketAddress> servers;
    private final PrintWriter out;
    private final PrintWriter err;
    private boolean maybeCommitted;
    private String reason = "";

    ProposalSender(List<InetSocketAddress> servers, PrintWriter out, PrintWriter err) {
        this.servers = servers;
        this.out = out;
        this.err = err;
    }

    /**
     * Prints the decision, or why there is none.
     *
     * @return an {@link ExitCode}
     */
    int send(Proposal proposal, long timeoutMs) throws InterruptedException {
        byte[] body = ConfigurationCodec.encode(proposal);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        do {
            for (InetSocketAddress server : servers) {
                ControlClient.Response response = sendTo(server, body);
                if (response != null) {
                    return reportDecision(proposal, response);
                }
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
        } while (System.nanoTime() < deadline);
        reportUndecided(proposal);
        return ExitCode.UNAVAILABLE;
    }

    /** The decision of that server; null if it could not decide. */
    private ControlClient.Response sendTo(InetSocketAddress server, byte[] body)
            throws InterruptedException {
        String name = server.getHostString() + ":" + server.getPort();
        try {
            ControlClient.Response response = client.post(server, "/proposals", body);
            if (response.status() != StatusCodes.SERVICE_UNAVAILABLE) {
                return response;
            }
            String commitStatus = response.body().path("taken").asText();
            boolean notCommitted = commitStatus.equals(CommitStatus.NOT_COMMITTED.wireName());
            recordFailure(!notCommitted, name + ": " + response.body().path("reason").asText());
        } catch (IOException e) {
            recordFailure(mayHaveArrived(e), name + ": " + e);
        }
        return null;
    }

    /** The failure of a server that may have committed it is kept over that of one that did not. */
    private void recordFailure(boolean maybe, String failure) {
        if (maybe || !maybeCommitted) {
            reason = failure;
        }
        maybeCommitted |= maybe;
    }

    private void reportUndecided(Proposal proposal) {
        String taken = maybeCommitted ? "perhaps not taken" : "surely not taken";
        err.println(taken + ", proposal " + proposal.id() + ": " + reason);
    }

    private static boolean mayHaveArrived(IOException failure) {
        return !(failure instanceof ConnectException)
                && !(failure instanceof HttpConnectTimeoutException);
    }

    private int reportDecision(Proposal proposal, ControlClient.Response response) {
        if (response.status() == StatusCodes.OK) {
            out.println("revision " + response.body().path("revision").asLong());
            return ExitCode.OK;
        }
        JsonNode errors = response.body().path("faults");
        if (errors.isEmpty()) {
            err.println("proposal " + proposal.id() + ": answered with " + response.status());
            return ExitCode.UNAVAILABLE;
        }
        for (JsonNode error : errors) {
            err.println(
                    error.path("key").asText() + ": expected " + error.path("expected").asText());
        }
        return ExitCode.REJECTED;
    }
}
