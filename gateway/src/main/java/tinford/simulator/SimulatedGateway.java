package tinford.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinford.api.AttemptOutcome;
import tinford.api.DecisionModule;
import tinford.api.GatewayActions;
import tinford.api.GatewayEvents;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.api.Tenant;
import tinford.settings.JsonFields;
import tinford.settings.SettingsReader;

/**
 * A gateway of the simulation: translates the simulator's messages into events of its decision
 * module. The field names of the protocol are mapped to the gateway's terms in this class and in
 * {@link ReplyWriter}.
 */
final class SimulatedGateway implements DecisionModule.EventBatch {
    private final String name;
    private final DecisionModule module;
    private final Map<String, RequestClass> requestClasses;
    private final Map<String, Plan> plans;
    private final Map<String, Server> servers = new HashMap<>();
    private final OpenRequests requests = new OpenRequests();
    private final List<WireMessage> batch = new ArrayList<>();

    /**
     * Creates a gateway whose first event is its start.
     *
     * @param up the message that carries its settings and its seed
     */
    SimulatedGateway(String name, DecisionModule.Factory moduleFactory, WireMessage up) {
        this.name = name;
        JsonFields settings = up.object("Options");
        this.requestClasses = SettingsReader.requestClasses(settings);
        this.plans = SettingsReader.plans(settings);
        this.module = SettingsReader.createModule(moduleFactory, up.integer("Prng"), settings);
        batch.add(up);
    }

    /** Returns the gateway's name in the protocol. */
    String name() {
        return name;
    }

    /** Adds an event to the current batch. */
    void add(WireMessage event) {
        batch.add(event);
    }

    /** Hands the current batch to the decision module and starts a new one. */
    void handleBatch(double nowMs, GatewayActions actions) {
        module.handleBatch(nowMs, this, actions);
        batch.clear();
    }

    /** Records that the module has sent an attempt of the request. */
    void attemptSent(Request request) {
        requests.attemptSent(request);
    }

    /** Records that the module has sent the final response of a request. */
    void answered(Request request) {
        requests.answered(request);
    }

    @Override
    public void replay(GatewayEvents events) {
        for (WireMessage message : batch) {
            replay(message, events);
        }
    }

    private void replay(WireMessage message, GatewayEvents events) {
        switch (message.type()) {
            case "Up" -> events.started();
            case "View" -> endpointsUpdated(message, events);
            case "Request" -> requestArrived(message, events);
            case "Begun" -> responseStarted(message, events);
            case "Finished" -> attemptEnded(message, events);
            case "ClientLeft" -> clientDisconnected(message, events);
            case "Alarm" -> events.timerFired(message.integer("Name"));
            case "Pong" -> healthCheckEnded(message, events);
            case "Whisper" ->
                    events.gossipReceived(
                            (int) message.integer("SrcPeer", 0), message.text("Blob"));
            case "Added" -> counterAnswered(message, events);
            default -> throw message.unexpected("a known event type");
        }
    }

    private void endpointsUpdated(WireMessage message, GatewayEvents events) {
        String scope = message.text("Scope");
        switch (scope) {
            case "refused" -> events.discoveryFailed();
            case "changes" -> updateEndpoints(message, events, false);
            case "all", "remembered" -> updateEndpoints(message, events, true);
            default -> throw message.invalid("Scope", "changes, all, remembered or refused");
        }
    }

    private void updateEndpoints(WireMessage message, GatewayEvents events, boolean complete) {
        List<Server> updated = new ArrayList<>();
        for (JsonFields entry : message.endpointEntries()) {
            updated.add(updateServer(entry));
        }
        events.endpointsUpdated(updated, complete);
        servers.values().removeIf(server -> server.state() == Server.State.REMOVED);
    }

    private Server updateServer(JsonFields entry) {
        Server server = servers.computeIfAbsent(entry.text("Server"), Server::new);
        server.updateAttributes(
                entry.text("FailureDomain"),
                (int) entry.integer("Bay", 0),
                "",
                entry.number("Size", 1));
        server.updateStartTime(entry.millis("BornUs"));
        server.updateState(serverState(entry));
        return server;
    }

    private static Server.State serverState(JsonFields entry) {
        return switch (entry.text("Condition")) {
            case "up" -> Server.State.UP;
            case "draining" -> Server.State.DRAINING;
            case "removed" -> Server.State.REMOVED;
            default -> throw entry.invalid("Condition", "up, draining or removed");
        };
    }

    private void requestArrived(WireMessage message, GatewayEvents events) {
        RequestClass requestClass = requestClasses.get(message.text("Service"));
        if (requestClass == null) {
            throw message.invalid("Service", "the name of a request class in the settings");
        }
        Plan plan = plans.get(message.text("Terms"));
        if (plan == null) {
            throw message.invalid("Terms", "the name of a plan in the settings");
        }
        Tenant tenant =
                new Tenant(
                        message.integer("Customer"),
                        plan,
                        (int) message.integer("Width", 1),
                        (int) message.integer("FromNo", 0));
        Request request =
                new Request(
                        message.integer("RequestId"),
                        requestClass,
                        tenant,
                        message.millis("ValidUntilUs"),
                        message.number("Weight", 1),
                        message.flag("Resent"));
        requests.add(request);
        events.requestArrived(request);
    }

    private void responseStarted(WireMessage message, GatewayEvents events) {
        Request request = requests.findUnanswered(message.integer("RequestId"));
        if (request != null) {
            events.responseStarted(request, (int) message.integer("Hop", 0));
        }
    }

    private void attemptEnded(WireMessage message, GatewayEvents events) {
        Request request = requests.find(message.integer("RequestId"));
        if (request == null) {
            return;
        }
        boolean requestEnded = message.flag("Ended");
        requests.attemptEnded(request, requestEnded);
        message.text("Server");
        events.attemptEnded(
                request,
                (int) message.integer("Hop", 0),
                outcome(message),
                message.millis("TookUs"),
                requestEnded,
                (int) message.integer("SeenUse", 0),
                message.number("Settled", 0),
                message.numbers("Feedback"));
        requests.removeIfDone(request);
    }

    private void clientDisconnected(WireMessage message, GatewayEvents events) {
        Request request = requests.findUnanswered(message.integer("RequestId"));
        if (request != null) {
            requests.answered(request);
            events.clientDisconnected(request);
        }
    }

    /** The result is ignored if the server has been removed in the meantime. */
    private void healthCheckEnded(WireMessage message, GatewayEvents events) {
        Server server = servers.get(message.text("Server"));
        if (server != null) {
            events.healthCheckEnded(
                    server,
                    outcome(message),
                    message.millis("TookUs"),
                    message.numbers("Feedback"));
        }
    }

    private static void counterAnswered(WireMessage message, GatewayEvents events) {
        events.counterAnswered(
                message.integer("Name"),
                outcome(message),
                message.millis("TookUs"),
                message.number("NowAt", 0));
    }

    private static AttemptOutcome outcome(WireMessage message) {
        return switch (message.text("How")) {
            case "success" -> AttemptOutcome.SUCCESS;
            case "failure" -> AttemptOutcome.ERROR;
            case "overloaded" -> AttemptOutcome.OVERLOADED;
            case "timed_out" -> AttemptOutcome.TIMED_OUT;
            case "unreachable" -> AttemptOutcome.UNREACHABLE;
            case "broken" -> AttemptOutcome.CONNECTION_LOST;
            case "withdrawn" -> AttemptOutcome.CANCELLED;
            case "void" -> AttemptOutcome.NOT_SENT;
            default ->
                    throw message.invalid(
                            "How",
                            "success, failure, overloaded, timed_out, unreachable, broken,"
                                    + " withdrawn or void");
        };
    }
}
