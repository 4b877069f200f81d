package tinford.routing;

import java.lang.System.Logger.Level;
import tinford.api.End;
import tinford.protocol.Malformed;
import tinford.protocol.Resp;
import tinford.protocol.Usage;
import tinford.transport.Ending;
import tinford.transport.Link;

/** One connection to a server. It carries one dispatch at a time, so that giving one up costs no other. */
final class ServerLink extends Link {
    private static final int MOST_OUT = 2 * Resp.MOST;
    final Backend backend;
    private final Servers servers;
    private Dispatch dispatch;
    double idleSince;

    ServerLink(Desk desk, Servers servers, Backend backend) {
        super(desk.loop, Resp.MOST, MOST_OUT);
        this.servers = servers;
        this.backend = backend;
    }

    void connect(double within) {
        open(backend.dial, within);
    }

    void carry(Dispatch d, long patience) {
        dispatch = d;
        d.link = this;
        d.exchange.ask.write(buf, patience);
        send();
    }

    @Override
    protected void opened() { }

    @Override
    protected void received() {
        Resp resp = servers.resp;
        try {
            int n = resp.parse(buf.bytes(), buf.from(), buf.to());
            if (n == 0 && dispatch != null) {
                return;
            }
            if (dispatch == null || buf.unread() > n) {
                throw new Malformed("one answer to a command");
            }
            answer(resp, n);
        } catch (Malformed e) {
            servers.desk.complain(Level.WARNING, "server " + backend.id, e);
            end(Ending.MALFORMED);
        }
    }

    private void answer(Resp resp, int n) throws Malformed {
        Dispatch d = dispatch;
        Desk desk = servers.desk;
        End how;
        String used = "";
        String load = "";
        if (resp.array()) {
            if (resp.kind(0) != '$') {
                throw new Malformed("a value first");
            }
            how = End.GOOD;
            used = resp.parts() > 1 ? resp.text(1) : "";
            load = resp.parts() > 2 ? resp.text(2) : "";
            // the first good answer goes to the client as it lies here
            if (!d.exchange.over) {
                d.exchange.client.value(d.exchange.slot, resp.bytes(), resp.from(0), resp.length(0));
            }
        } else if (resp.kind(0) == '-') {
            String[] words = resp.text(0).split(" ");
            how = words[0].equals("BUSY") ? End.FULL : End.ERROR;
            if (how == End.ERROR && (words.length < 2 || !words[1].equals("failed"))) {
                servers.desk.complain(Level.WARNING, "server " + backend.id,
                        new Malformed("-ERR failed, not -" + resp.text(0)));
            }
            load = words[words.length - 1];
            used = words.length > 2 ? words[2] : "";
        } else {
            throw new Malformed("an array or an error");
        }
        buf.take(n);
        dispatch = null;
        servers.free(this);
        desk.ended(d, how, 1 + (int) Usage.of(used, "used", -1), how == End.GOOD ? Usage.of(used, "cost", 0) : 0,
                servers.report(load));
    }

    @Override
    protected void ended(Ending how) {
        servers.gone(this, how);
        if (dispatch != null) {
            Dispatch d = dispatch;
            dispatch = null;
            servers.desk.ended(d, Ends.ofDispatch(how, allWritten()), 0, 0, null);
        }
    }
}
