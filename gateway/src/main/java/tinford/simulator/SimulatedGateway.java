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
import tinford.settings.InvalidSettingsException;
import tinford.settings.JsonFields;
import tinford.settings.SettingsReader;

/** One gateway on the wire: its ids, and its input as calls on the decisions. */
final class SimulatedGateway implements DecisionModule.EventBatch {
    final String name;
    private final DecisionModule gateway;
    private final Map<String, RequestClass> frontends;
    private final Map<String, Plan> plans;
    private final Map<String, Server> servers = new HashMap<>();
    private final Map<Long, Door> reqs = new HashMap<>();
    private final List<WireMessage> lines = new ArrayList<>();

    /** A req that the wire may still name. */
    private static final class Door {
        final Request req;
        int out;
        boolean over;

        Door(Request req) {
            this.req = req;
        }
    }

    SimulatedGateway(String name, DecisionModule.Factory maker, WireMessage up) {
        this.name = name;
        JsonFields set = up.object("Options");
        frontends = SettingsReader.requestClasses(set);
        plans = SettingsReader.plans(set);
        this.gateway = SettingsReader.createModule(maker, up.integer("Prng"), set);
        lines.add(up);
    }

    private static AttemptOutcome end(WireMessage l) {
        return switch (l.text("How")) {
            case "success" -> AttemptOutcome.SUCCESS;
            case "failure" -> AttemptOutcome.ERROR;
            case "overloaded" -> AttemptOutcome.OVERLOADED;
            case "timed_out" -> AttemptOutcome.TIMED_OUT;
            case "unreachable" -> AttemptOutcome.UNREACHABLE;
            case "broken" -> AttemptOutcome.CONNECTION_LOST;
            case "withdrawn" -> AttemptOutcome.CANCELLED;
            case "void" -> AttemptOutcome.NOT_SENT;
            default -> throw l.invalid("How", "one of the outcomes of the wire");
        };
    }

    void take(WireMessage line) {
        lines.add(line);
    }

    void round(double now, GatewayActions out) {
        gateway.handleBatch(now, this, out);
        lines.clear();
    }

    @Override
    public void replay(GatewayEvents in) {
        for (WireMessage l : lines) {
            switch (l.name) {
                case "Up" -> in.started();
                case "View" -> view(l, in);
                case "Request" -> request(l, in);
                case "Begun" -> {
                    Door door = reqs.get(l.integer("RequestId"));
                    if (door != null && !door.over) {
                        in.responseStarted(door.req, (int) l.integer("Hop", 0));
                    }
                }
                case "Finished" -> finished(l, in);
                case "ClientLeft" -> {
                    Door door = reqs.get(l.integer("RequestId"));
                    if (door != null && !door.over) {
                        over(door);
                        in.clientDisconnected(door.req);
                    }
                }
                case "Alarm" -> in.timerFired(l.integer("Name"));
                case "Pong" -> probed(l, in);
                case "Whisper" -> in.gossipReceived((int) l.integer("SrcPeer", 0), l.text("Blob"));
                case "Added" ->
                        in.counterAnswered(
                                l.integer("Name"),
                                end(l),
                                l.millis("TookUs"),
                                l.number("NowAt", 0));
                default ->
                        throw new InvalidSettingsException(
                                "line " + l.number, l.name, "a message of the wire");
            }
        }
    }

    /** An answer from a server that is gone by now tells nothing. */
    private void probed(WireMessage l, GatewayEvents in) {
        Server srv = servers.get(l.text("Server"));
        if (srv != null) {
            in.healthCheckEnded(srv, end(l), l.millis("TookUs"), l.numbers("Feedback"));
        }
    }

    private void view(WireMessage l, GatewayEvents in) {
        String scope = l.text("Scope");
        switch (scope) {
            case "refused" -> {
                in.discoveryFailed();
                return;
            }
            case "changes", "all", "remembered" -> {}
            default -> throw l.invalid("Scope", "changes, all, remembered or refused");
        }
        List<Server> entries = new ArrayList<>();
        for (JsonFields e : l.sheet) {
            Server srv = servers.computeIfAbsent(e.text("Server"), Server::new);
            srv.updateAttributes(
                    e.text("FailureDomain"), (int) e.integer("Bay", 0), "", e.number("Size", 1));
            srv.updateStartTime(e.millis("BornUs"));
            srv.updateState(serverState(e));
            entries.add(srv);
        }
        in.endpointsUpdated(entries, !scope.equals("changes"));
        servers.values().removeIf(srv -> srv.state() == Server.State.REMOVED);
    }

    private static Server.State serverState(JsonFields entry) {
        return switch (entry.text("Condition")) {
            case "up" -> Server.State.UP;
            case "draining" -> Server.State.DRAINING;
            case "removed" -> Server.State.REMOVED;
            default -> throw entry.invalid("Condition", "up, draining or removed");
        };
    }

    private void request(WireMessage l, GatewayEvents in) {
        RequestClass frontend = frontends.get(l.text("Service"));
        if (frontend == null) {
            throw l.invalid("Service", "a class of the settings");
        }
        Plan plan = plans.get(l.text("Terms"));
        if (plan == null) {
            throw l.invalid("Terms", "a plan of the settings");
        }
        Tenant c =
                new Tenant(
                        l.integer("Customer"),
                        plan,
                        (int) l.integer("Width", 1),
                        (int) l.integer("FromNo", 0));
        Request req =
                new Request(
                        l.integer("RequestId"),
                        frontend,
                        c,
                        l.millis("ValidUntilUs"),
                        l.number("Weight", 1),
                        l.flag("Resent"));
        reqs.put(req.id, new Door(req));
        in.requestArrived(req);
    }

    private void finished(WireMessage l, GatewayEvents in) {
        Door door = reqs.get(l.integer("RequestId"));
        if (door == null) {
            return;
        }
        door.out--;
        boolean ended = l.flag("Ended");
        if (ended) {
            door.over = true;
        }
        l.text("Server");
        in.attemptEnded(
                door.req,
                (int) l.integer("Hop", 0),
                end(l),
                l.millis("TookUs"),
                ended,
                (int) l.integer("SeenUse", 0),
                l.number("Settled", 0),
                l.numbers("Feedback"));
        if (door.over) {
            over(door);
        }
    }

    private void over(Door door) {
        door.over = true;
        if (door.out <= 0) {
            reqs.remove(door.req.id);
        }
    }

    void sent(Request req) {
        reqs.get(req.id).out++;
    }

    void answered(Request req) {
        Door door = reqs.get(req.id);
        if (door != null) {
            over(door);
        }
    }
}
