package tinford.benchlink;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinford.api.Customer;
import tinford.api.End;
import tinford.api.Frontend;
import tinford.api.Gateway;
import tinford.api.Inbox;
import tinford.api.Plan;
import tinford.api.Req;
import tinford.api.Srv;
import tinford.api.Writer;
import tinford.handed.BadInput;
import tinford.handed.Fields;
import tinford.handed.Handed;

/** One gateway on the wire: its ids, and its input as calls on the decisions. */
final class Instance implements Gateway.Feed {
    final String name;
    private final Gateway gateway;
    private final Map<String, Frontend> frontends;
    private final Map<String, Plan> plans;
    private final Map<String, Srv> servers = new HashMap<>();
    private final Map<Long, Door> reqs = new HashMap<>();
    private final List<Line> lines = new ArrayList<>();

    /** A req that the wire may still name. */
    private static final class Door {
        final Req req;
        int out;
        boolean over;

        Door(Req req) {
            this.req = req;
        }
    }

    Instance(String name, Gateway.Maker maker, Line up) {
        this.name = name;
        Fields set = up.part("Options");
        frontends = Handed.frontends(set);
        plans = Handed.plans(set);
        this.gateway = Handed.make(maker, up.whole("Prng"), set);
        lines.add(up);
    }

    private static End end(Line l) {
        return switch (l.text("How")) {
            case "success" -> End.GOOD;
            case "failure" -> End.ERROR;
            case "overloaded" -> End.FULL;
            case "timed_out" -> End.TIMED_OUT;
            case "unreachable" -> End.UNREACHABLE;
            case "broken" -> End.BROKEN;
            case "withdrawn" -> End.CANCELLED;
            case "void" -> End.VOID;
            default -> throw l.bad("How", "one of the outcomes of the wire");
        };
    }

    void take(Line line) {
        lines.add(line);
    }

    void round(double now, Writer out) {
        gateway.round(now, this, out);
        lines.clear();
    }

    @Override
    public void replay(Inbox in) {
        for (Line l : lines) {
            switch (l.name) {
                case "Up" -> in.started();
                case "View" -> view(l, in);
                case "Request" -> request(l, in);
                case "Begun" -> {
                    Door door = reqs.get(l.whole("RequestId"));
                    if (door != null && !door.over) {
                        in.began(door.req, (int) l.whole("Hop", 0));
                    }
                }
                case "Finished" -> finished(l, in);
                case "ClientLeft" -> {
                    Door door = reqs.get(l.whole("RequestId"));
                    if (door != null && !door.over) {
                        over(door);
                        in.left(door.req);
                    }
                }
                case "Alarm" -> in.alarm(l.whole("Name"));
                case "Pong" -> probed(l, in);
                case "Whisper" -> in.heard((int) l.whole("SrcPeer", 0), l.text("Blob"));
                case "Added" ->
                        in.counted(l.whole("Name"), end(l), l.millis("TookUs"), l.real("NowAt", 0));
                default -> throw new BadInput("line " + l.number, l.name, "a message of the wire");
            }
        }
    }

    /** An answer from a server that is gone by now tells nothing. */
    private void probed(Line l, Inbox in) {
        Srv srv = servers.get(l.text("Server"));
        if (srv != null) {
            in.probed(srv, end(l), l.millis("TookUs"), l.reals("Feedback"));
        }
    }

    private void view(Line l, Inbox in) {
        String scope = l.text("Scope");
        switch (scope) {
            case "refused" -> {
                in.listRefused();
                return;
            }
            case "changes", "all", "remembered" -> {}
            default -> throw l.bad("Scope", "changes, all, remembered or refused");
        }
        List<Srv> entries = new ArrayList<>();
        for (Fields e : l.sheet) {
            Srv srv = servers.computeIfAbsent(e.text("Server"), Srv::new);
            srv.zone = e.text("FailureDomain");
            srv.cell = (int) e.whole("Bay", 0);
            srv.size = e.real("Size", 1);
            srv.born = e.millis("BornUs");
            srv.state =
                    switch (e.text("Condition")) {
                        case "up" -> Srv.State.UP;
                        case "draining" -> Srv.State.DRAINING;
                        case "removed" -> Srv.State.REMOVED;
                        default -> throw e.bad("Condition", "up, draining or removed");
                    };
            entries.add(srv);
        }
        in.listed(entries, !scope.equals("changes"));
        servers.values().removeIf(srv -> srv.state == Srv.State.REMOVED);
    }

    private void request(Line l, Inbox in) {
        Frontend frontend = frontends.get(l.text("Service"));
        if (frontend == null) {
            throw l.bad("Service", "a class of the settings");
        }
        Plan plan = plans.get(l.text("Terms"));
        if (plan == null) {
            throw l.bad("Terms", "a plan of the settings");
        }
        Customer c =
                new Customer(
                        l.whole("Customer"),
                        plan,
                        (int) l.whole("Width", 1),
                        (int) l.whole("FromNo", 0));
        Req req =
                new Req(
                        l.whole("RequestId"),
                        frontend,
                        c,
                        l.millis("ValidUntilUs"),
                        l.real("Weight", 1),
                        l.flag("Resent"));
        reqs.put(req.id, new Door(req));
        in.arrived(req);
    }

    private void finished(Line l, Inbox in) {
        Door door = reqs.get(l.whole("RequestId"));
        if (door == null) {
            return;
        }
        door.out--;
        boolean ended = l.flag("Ended");
        if (ended) {
            door.over = true;
        }
        l.text("Server");
        in.ended(
                door.req,
                (int) l.whole("Hop", 0),
                end(l),
                l.millis("TookUs"),
                ended,
                (int) l.whole("SeenUse", 0),
                l.real("Settled", 0),
                l.reals("Feedback"));
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

    void sent(Req req) {
        reqs.get(req.id).out++;
    }

    void answered(Req req) {
        Door door = reqs.get(req.id);
        if (door != null) {
            over(door);
        }
    }
}
