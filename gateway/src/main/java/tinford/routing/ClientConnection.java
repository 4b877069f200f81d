package tinford.routing;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import tinford.protocol.ClientCommand;
import tinford.protocol.ProtocolException;
import tinford.protocol.RespReader;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;

/** One client connection: commands in, answers out in the order of the commands. */
final class ClientConnection extends Connection {
    static final int JUST_COME = 4;
    static final int BUSY = 5;
    private static final double LATELY = 250;
    private static final double UNREAD =
            20_000; // a client that does not read its answer by then will not
    private static final int MOST_OUT = 1 << 20;
    private static final int MOST_FLOWING = 32 << 10; // of a value that is passed on as it comes
    private static final int LEAST_FLOWING = 8 << 10;
    private static final int MOST_WAITING =
            64; // commands of one connection; a client opens another when all are busy
    private final ClientPool clients;
    private ResponseSlot first;
    private ResponseSlot last;
    private CloseReason closing; // once everything is answered
    private int awaited; // bytes of a command for which there is no room yet
    private int passing; // bytes of a command that is denied, still to come
    private int room; // bytes that are kept for a long command
    private int waiting; // commands not answered
    private double halfSince; // a command has come in part, or 0
    private boolean asked; // a whole command has come
    double lastUse;

    ClientConnection(ClientPool clients) {
        super(clients.desk.loop, RespReader.MAX_COMMAND_BYTES, MOST_OUT);
        this.clients = clients;
    }

    private boolean idle() {
        return first == null && buffer.unreadBytes() == 0;
    }

    /**
     * On its place here, where places are few: turned away, silent from the first, long between
     * reqs, lately used, just come, in use. Guards those that have just come: their first command
     * may lie unread.
     */
    int claim(double now, double silence) {
        double quiet = now - lastUse;
        if (!idle()
                || buffer.unwrittenBytes()
                        > 0) { // guards an answer of this very turn, which has not left yet
            return BUSY;
        }
        return closing != null
                ? 0
                : asked ? quiet >= silence ? 2 : 3 : quiet >= LATELY ? 1 : JUST_COME;
    }

    @Override
    protected DescriptorBudget.PeerKind party() {
        return DescriptorBudget.PeerKind.CLIENTS;
    }

    @Override
    protected void onOpened() {}

    /**
     * Guards servers against work for nobody: an end is looked for before each dispatch, also
     * behind what is not read yet.
     */
    boolean gone() {
        return pollPeerClosed();
    }

    @Override
    protected void onReceived() {
        if (isPeerCloseSeen()) {
            return; // nobody waits for what came right before the end
        }
        RespReader resp = clients.resp;
        try {
            while (!isClosed() && closing != CloseReason.PROTOCOL_ERROR) {
                pass();
                if (passing > 0) {
                    return;
                }
                int n = resp.parse(buffer.bytes(), buffer.readIndex(), buffer.readLimit());
                if (n == 0) {
                    halfSince =
                            buffer.unreadBytes() == 0
                                    ? 0
                                    : halfSince == 0 || room > 0 ? clients.desk.now : halfSince;
                    if (resp.requiredBytes() > 0) {
                        expect(resp.requiredBytes());
                    }
                    return;
                }
                halfSince = 0;
                giveRoom();
                if (!resp.isCommand()) {
                    throw new ProtocolException("an array of bulk strings");
                }
                asked = true;
                lastUse = clients.desk.now;
                command(resp, n);
            }
        } catch (ProtocolException e) {
            refuse(e);
        }
    }

    /**
     * A long body is read once there is room for the whole of it; until then it stays with its
     * client.
     */
    private void expect(int bytes) {
        if (room > 0 || awaited > 0) {
            return;
        }
        awaited = bytes;
        if (clients.grant(this)) {
            return;
        }
        if (first == null) {
            suspendReads();
            return;
        }
        // guards the reqs before it: on a connection that is not read nobody sees that their client
        // has gone
        giveRoom();
        passing = bytes;
        say(add(new ResponseSlot()), "-BUSY");
        pass();
    }

    private void pass() {
        int n = Math.min(passing, buffer.unreadBytes());
        passing -= n;
        buffer.consume(n);
    }

    int awaited() {
        return awaited;
    }

    void granted() {
        room = awaited;
        awaited = 0;
        halfSince = clients.desk.now;
        buffer.reserveForRead(room);
        resumeReads();
    }

    private void giveRoom() {
        if (room > 0 || awaited > 0) {
            int had = room;
            room = awaited = 0;
            clients.ungrant(this, had);
        }
    }

    /**
     * Behind this the stream can't be followed: one line, after the answers still owed, and the
     * end.
     */
    private void refuse(ProtocolException e) {
        lastWord("-ERR " + e.getMessage());
    }

    /**
     * No room came free for what it wants to send: nothing of it was heard, and it may come again.
     */
    private void turnAway() {
        lastWord("-BUSY");
    }

    private void lastWord(String line) {
        giveRoom();
        say(add(new ResponseSlot()), line);
        discardInput();
        closeWhenIdle(CloseReason.PROTOCOL_ERROR);
    }

    /**
     * Guards the room of others: whoever says nothing, or half a command, for that long has an
     * error line or a close.
     */
    void look(double now, double silence, double half, double idleMost) {
        if (closing != CloseReason.PROTOCOL_ERROR && awaited > 0 && now - halfSince >= half) {
            turnAway();
        } else if (closing != CloseReason.PROTOCOL_ERROR
                && halfSince > 0
                && now - halfSince >= half) {
            refuse(new ProtocolException("a whole command within " + (long) half + " ms"));
        } else if (idle() && buffer.unwrittenBytes() > 0 && now - lastUse >= UNREAD) {
            close(CloseReason.BUFFER_LIMIT_EXCEEDED);
        } else if (closing == null && idle() && now - lastUse >= (asked ? idleMost : silence)) {
            giveWay();
        }
    }

    /**
     * Guards a command that has come since the sockets were last read: it counts as taken, and its
     * client as answered.
     */
    boolean giveWay() {
        if ((closing != null || isQuiet() || idle()) && buffer.unwrittenBytes() == 0) {
            close(CloseReason.CLOSED_IDLE);
        }
        return isClosed();
    }

    private void command(RespReader resp, int n) {
        int from = buffer.readIndex();
        if (resp.partCount() == 1 && resp.text(0).equals("PING")) {
            buffer.consume(n);
            say(add(new ResponseSlot()), "+PONG");
            return;
        }
        ClientRequest e = null;
        String wrong = null;
        try {
            e = clients.exchange(this, new ClientCommand(resp, buffer.bytes(), from, n));
        } catch (ProtocolException m) {
            wrong = m.getMessage();
        }
        buffer.consume(n);
        if (e == null) {
            say(add(new ResponseSlot()), "-ERR " + wrong);
            return;
        }
        add(e.slot);
        clients.take(e, waiting > MOST_WAITING);
    }

    private ResponseSlot add(ResponseSlot s) {
        waiting++;
        if (first == null) {
            first = s;
        } else {
            last.next = s;
        }
        last = s;
        return s;
    }

    void say(ResponseSlot s, String line) {
        if (s == first) {
            buffer.put(line).putLineEnd();
            next();
        } else {
            keep(s, (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    void value(ResponseSlot s, byte[] b, int from, int n) {
        if (s == first) {
            buffer.put("$").put(n).putLineEnd().put(b, from, n).putLineEnd();
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

    /** Whether what is put now is this one's answer: those before it are out. */
    boolean front(ResponseSlot s) {
        return s == first;
    }

    /** A value too long to be kept begins to flow from there; its client's slot is at the front. */
    void flow(ResponseSlot s, long n, ServerConnection from) {
        s.source = from;
        buffer.put("$").put(n).putLineEnd();
    }

    /** A piece of it. False when enough waits to be written: the source hears when to go on. */
    boolean piece(byte[] b, int from, int n) {
        buffer.put(b, from, n);
        scheduleFlush();
        if (buffer.unwrittenBytes()
                <= (loop.bufferBudget().isNearlyExhausted() ? 0 : MOST_FLOWING)) {
            return true;
        }
        awaitDrain(LEAST_FLOWING);
        return false;
    }

    /** It has flown whole. */
    void flown() {
        first.source = null;
        buffer.putLineEnd();
        next();
    }

    @Override
    protected void onDrained() {
        if (first != null && first.source != null) {
            first.source.goOn();
        }
    }

    private void keep(ResponseSlot s, byte[] answer) {
        s.answer = answer;
        clients.held(answer.length);
    }

    private void next() {
        waiting--;
        for (first = first.next; first != null && first.answer != null; first = first.next) {
            buffer.put(first.answer, 0, first.answer.length);
            clients.held(-first.answer.length);
            waiting--;
        }
        lastUse = clients.desk.now;
        scheduleFlush();
        if (first != null && first.source != null) {
            first.source.goOn(); // what came from there waited for those before it
        }
        if (clients.leaving && closing == null) {
            closing =
                    CloseReason
                            .CLOSED_IDLE; // the client has just read an answer and is not writing
            // yet
        }
        last();
    }

    private void last() {
        if (closing == null || first != null) {
            return;
        }
        if (closing == CloseReason.PROTOCOL_ERROR) {
            closeDiscardingInput(closing);
        } else if (isQuiet() || idle()) { // what has come by now is answered first
            closeGracefullyIfQuiet(closing);
        }
    }

    /** It has brought a command, and no other is under way. */
    boolean rests() {
        return asked && idle();
    }

    /** Between reqs: a client sends once more what crosses this. */
    void closeWhenIdle(CloseReason how) {
        closing =
                closing == null
                        ? how
                        : closing; // guards against reading on behind what can't be followed
        if (idle()) {
            last();
        }
    }

    /**
     * The process goes: each req has its answer, and a command that has come in part is told that
     * nothing of it was heard.
     */
    void cutShort() {
        for (ResponseSlot s = first; s != null; s = s.next) {
            if (s.exchange != null && !s.exchange.over) {
                clients.cutShort(s.exchange);
            }
        }
        if (!isClosed() && closing != CloseReason.PROTOCOL_ERROR && halfSince > 0) {
            turnAway();
        }
    }

    @Override
    protected void onClosed(CloseReason how) {
        clients.gone(this);
        giveRoom();
        for (ResponseSlot s = first; s != null; s = s.next) {
            if (s.answer != null) {
                clients.held(-s.answer.length);
            } else if (s.source != null) {
                s.source.close(CloseReason.CANCELLED);
            } else if (s.exchange != null && !s.exchange.over) {
                clients.left(s.exchange);
            }
        }
        first = null;
    }
}
