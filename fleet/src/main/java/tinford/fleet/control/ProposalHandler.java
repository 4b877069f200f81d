package tinford.fleet.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.RequestLimit;
import io.undertow.server.handlers.RequestLimitingHandler;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.ConfigurationLimits;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.Outcome;
import tinford.fleet.config.Proposal;
import tinford.fleet.control.ProposalResult.CommitStatus;
import tinford.fleet.control.ProposalResult.Decided;
import tinford.fleet.control.ProposalResult.Unavailable;

/** {@code POST /proposals}: proposes a change of the configuration. */
final class ProposalHandler implements HttpHandler {
    private final ControlRole role;

    private ProposalHandler(ControlRole role) {
        this.role = role;
    }

    /** Reads {@link PendingProposals#CAPACITY} bodies at once; as many more requests wait. */
    static HttpHandler limited(ControlRole role) {
        RequestLimit limit = new RequestLimit(PendingProposals.CAPACITY, PendingProposals.CAPACITY);
        limit.setFailureHandler(
                exchange ->
                        respond(
                                exchange,
                                new Unavailable(CommitStatus.NOT_COMMITTED, "too many proposals")));
        return new RequestLimitingHandler(limit, new ProposalHandler(role));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        RequestBody.read(
                exchange,
                ConfigurationLimits.MAX_PROPOSAL_BYTES,
                body -> exchange.dispatch(() -> propose(exchange, body)));
    }

    /** On a worker thread, since parsing a large body takes a while. */
    private void propose(HttpServerExchange exchange, byte[] body) {
        Proposal proposal;
        try {
            proposal = ConfigurationCodec.decodeProposal(body);
        } catch (InvalidConfigurationException e) {
            JsonResponse.sendError(exchange, StatusCodes.BAD_REQUEST, e.error());
            return;
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> role.propose(proposal).thenAccept(result -> respond(exchange, result)));
    }

    private static void respond(HttpServerExchange exchange, ProposalResult result) {
        if (result instanceof Unavailable unavailable) {
            ObjectNode body = JsonResponse.newObject();
            body.put("taken", unavailable.commitStatus().wireName());
            body.put("reason", unavailable.reason());
            JsonResponse.send(exchange, StatusCodes.SERVICE_UNAVAILABLE, body);
            return;
        }
        Outcome outcome = ((Decided) result).outcome();
        if (outcome instanceof Outcome.Accepted accepted) {
            ObjectNode body = JsonResponse.newObject().put("revision", accepted.revision());
            JsonResponse.send(exchange, StatusCodes.OK, body);
        } else if (outcome instanceof Outcome.Rejected rejected) {
            ObjectNode body = JsonResponse.errorBody(rejected.rejection().errors());
            JsonResponse.send(exchange, StatusCodes.CONFLICT, body);
        }
    }
}
