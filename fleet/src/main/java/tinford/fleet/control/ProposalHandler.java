package tinford.fleet.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.RequestLimit;
import io.undertow.server.handlers.RequestLimitingHandler;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.Locale;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.ConfigurationLimits;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.Outcome;
import tinford.fleet.config.Proposal;
import tinford.fleet.control.ProposalResult.Decided;
import tinford.fleet.control.ProposalResult.Taken;
import tinford.fleet.control.ProposalResult.Unavailable;

/** {@code POST /proposals}: changes of the configuration. */
final class ProposalHandler implements HttpHandler {
    private final ControlRole role;

    private ProposalHandler(ControlRole role) {
        this.role = role;
    }

    /** Holds the bodies of {@link PendingProposals#CAPACITY} at once; as many more wait unread. */
    static HttpHandler limited(ControlRole role) {
        RequestLimit limit = new RequestLimit(PendingProposals.CAPACITY, PendingProposals.CAPACITY);
        limit.setFailureHandler(
                exchange -> answer(exchange, new Unavailable(Taken.NO, "too many proposals")));
        return new RequestLimitingHandler(limit, new ProposalHandler(role));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        RequestBody.read(
                exchange,
                ConfigurationLimits.PROPOSAL_BYTES,
                body -> exchange.dispatch(() -> propose(exchange, body)));
    }

    /** On a worker thread: a large body takes a while to read. */
    private void propose(HttpServerExchange exchange, byte[] body) {
        Proposal proposal;
        try {
            proposal = ConfigurationCodec.decodeProposal(body);
        } catch (InvalidConfigurationException e) {
            JsonResponse.sendFault(exchange, StatusCodes.BAD_REQUEST, e.fault());
            return;
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> role.propose(proposal).thenAccept(result -> answer(exchange, result)));
    }

    private static void answer(HttpServerExchange exchange, ProposalResult result) {
        if (result instanceof Unavailable unavailable) {
            ObjectNode body = JsonResponse.object();
            body.put("taken", unavailable.taken().name().toLowerCase(Locale.ROOT));
            body.put("reason", unavailable.reason());
            JsonResponse.send(exchange, StatusCodes.SERVICE_UNAVAILABLE, body);
            return;
        }
        Outcome outcome = ((Decided) result).outcome();
        if (outcome instanceof Outcome.Accepted accepted) {
            ObjectNode body = JsonResponse.object().put("revision", accepted.revision());
            JsonResponse.send(exchange, StatusCodes.OK, body);
        } else if (outcome instanceof Outcome.Refused refused) {
            ObjectNode body = JsonResponse.faults(refused.refusal().faults());
            JsonResponse.send(exchange, StatusCodes.CONFLICT, body);
        }
    }
}
