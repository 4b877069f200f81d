"""A client asks for three long values and a short one at once on one connection, and reads slowly."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import parties

LONG_BYTES = 4 << 20
SHORT_BYTES = 2_000
WORK_S = 0.1
DEADLINE_MS = 8000
SLOW_BYTES_PER_S = 300_000
RECEIVE_BUFFER = 65_536
READ_BYTES = 16_384
PATIENCE_S = 25  # with no byte at all, after the answer before has come whole


class Server(parties.Server):
    """Gives each request a value of its own, as long as the request's id says, and writes it as fast as it is read."""

    def run(self, sock, commands, words):
        request_id = words[2].decode()
        self.record.write("%s runs %s" % (self.name, request_id))
        time.sleep(WORK_S)
        try:
            sock.sendall(parties.answer(value_of(request_id)))
        except OSError as e:
            self.record.write("%s: the gateway cut off the answer to %s: %s" % (self.name, request_id, e))
            raise
        self.record.write("%s gave the whole answer to %s" % (self.name, request_id))


def value_of(request_id):
    length = LONG_BYTES if request_id.endswith("a") else SHORT_BYTES
    return request_id.encode() * (length // 16)


class SlowInput(parties.RespInput):
    """Reads at a limited rate."""

    def _more(self):
        time.sleep(self.chunk / SLOW_BYTES_PER_S)
        return super()._more()


def servers_of(record, trouble):
    return [Server("s-%d" % i, record) for i in range(4)]


def play(gateway, record, trouble):
    ids = ["%016x" % number for number in (0x7000_001A, 0x7000_002A, 0x7000_003A, 0x7000_004B)]
    sock = gateway.connect(timeout=PATIENCE_S, receive_buffer=RECEIVE_BUFFER)
    sock.sendall(
        b"".join(
            parties.command("Q.ASK", "%016x" % (0x20000 + i), ids[i], parties.terms("plan-read", DEADLINE_MS))
            for i in range(len(ids))
        )
    )
    record.write("client sent %s at once on one connection" % ", ".join(ids))
    replies = SlowInput(sock, READ_BYTES) if trouble else parties.RespInput(sock)
    breaks = []
    for i, request_id in enumerate(ids):
        try:
            reply = replies.value()
            ended = "the connection ended" if reply is None else None
        except TimeoutError:
            reply, ended = None, "no byte came for %d s" % PATIENCE_S
        if ended:
            record.write("%s: %s" % (request_id, ended))
            breaks += ["%s was never answered: %s" % (missing, ended) for missing in ids[i:]]
            break
        if isinstance(reply, bytes) and reply != value_of(request_id):
            breaks.append("%s got a value that is not its own" % request_id)
        shown = "its value of %d bytes" % len(reply) if isinstance(reply, bytes) else reply
        record.write("%s got %s" % (request_id, shown))
    sock.close()
    return breaks


parties.run_case(os.path.dirname(os.path.abspath(__file__)), servers_of, play)
