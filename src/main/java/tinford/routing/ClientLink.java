package tinford.routing;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import tinford.protocol.Ask;
import tinford.protocol.Malformed;
import tinford.protocol.Resp;
import tinford.transport.Ending;
import tinford.transport.Link;

/** One client connection: commands in, answers out in the order of the commands. */
final class ClientLink extends Link {
    private static final int MOST_OUT = 1 << 20;
    private final Clients clients;
    private Slot first;
    private Slot last;
    private Ending closing; // once everything is answered
    double lastUse;

    ClientLink(Clients clients) {
        super(clients.desk.loop, Resp.MOST, MOST_OUT);
        this.clients = clients;
    }

    boolean closing() {
        return closing != null;
    }

    boolean idle() {
        return first == null && buf.unread() == 0;
    }

    @Override
    protected void opened() { }

    @Override
    protected void received() {
        lastUse = clients.desk.now;
        Resp resp = clients.resp;
        try {
            while (!over() && closing != Ending.MALFORMED) {
                int n = resp.parse(buf.bytes(), buf.from(), buf.to());
                if (n == 0) {
                    return;
                }
                if (!resp.command()) {
                    throw new Malformed("an array of bulk strings");
                }
                command(resp, n);
            }
        } catch (Malformed e) {
            // behind this the stream can't be followed
            say(add(new Slot()), "-ERR " + e.getMessage());
            buf.take(buf.unread());
            close(Ending.MALFORMED);
        }
    }

    private void command(Resp resp, int n) {
        int from = buf.from();
        if (resp.parts() == 1 && resp.text(0).equals("PING")) {
            buf.take(n);
            say(add(new Slot()), "+PONG");
            return;
        }
        Exchange e = null;
        String wrong = null;
        try {
            e = clients.exchange(this, new Ask(resp, buf.bytes(), from, n));
        } catch (Malformed m) {
            wrong = m.getMessage();
        }
        buf.take(n);
        if (e == null) {
            say(add(new Slot()), "-ERR " + wrong);
            return;
        }
        add(e.slot);
        clients.take(e);
    }

    private Slot add(Slot s) {
        if (first == null) {
            first = s;
        } else {
            last.next = s;
        }
        last = s;
        return s;
    }

    void say(Slot s, String line) {
        if (s == first) {
            buf.put(line).line();
            next();
        } else {
            keep(s, (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    void value(Slot s, byte[] b, int from, int n) {
        if (s == first) {
            buf.put("$").put(n).line().put(b, from, n).line();
            next();
        } else {
            byte[] head = ("$" + n + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
            byte[] whole = Arrays.copyOf(head, head.length + n + 2);
            System.arraycopy(b, from, whole, head.length, n);
            whole[head.length + n] = '\r';
            whole[head.length + n + 1] = '\n';
            keep(s, whole);
        }
    }

    private void keep(Slot s, byte[] answer) {
        s.answer = answer;
        clients.held(answer.length);
    }

    private void next() {
        for (first = first.next; first != null && first.answer != null; first = first.next) {
            buf.put(first.answer, 0, first.answer.length);
            clients.held(-first.answer.length);
        }
        send();
        if (first == null && closing != null) {
            finish(closing);
        }
    }

    /** Between reqs: a client sends once more what crosses this. */
    void close(Ending how) {
        closing = how;
        if (idle()) {
            finish(how);
        }
    }

    @Override
    protected void ended(Ending how) {
        clients.gone(this);
        for (Slot s = first; s != null; s = s.next) {
            if (s.answer != null) {
                clients.held(-s.answer.length);
            } else if (s.exchange != null && !s.exchange.over) {
                clients.left(s.exchange);
            }
        }
        first = null;
    }
}
