"""A client sends many commands at once, again and again on one connection, and reads the answers slowly for 3 s."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import parties

SERVERS = 8
COMMANDS_AT_ONCE = 20
EVERY_S = 0.2  # 100 requests a second
PLAY_S = 16
SLOW_FROM_S = 6
SLOW_S = 3
SLOW_BYTES_PER_S = 1_000_000
READ_BYTES = 16_384
RECEIVE_BUFFER = 262_144
VALUE_BYTES = 60_000
WORK_S = (0.02, 0.06)
DEADLINE_MS = 8000
PATIENCE_S = 12  # with no byte at all, longer than any request's time and half a second


class Server(parties.Server):
    """Gives each request a value of its own."""

    ran = set()

    def run(self, sock, commands, words):
        request_id = words[2].decode()
        self.ran.add(request_id)
        time.sleep(random.uniform(*WORK_S))
        sock.sendall(parties.answer(value_of(request_id)))
        self.record.write("%s ran %s and answered" % (self.name, request_id))


def value_of(request_id):
    return (request_id.encode() * (VALUE_BYTES // 16 + 1))[:VALUE_BYTES]


class ClientInput(parties.RespInput):
    """Reads as fast as it can, but for the slow time."""

    slow_from = slow_to = 0.0

    def _more(self):
        if self.slow_from <= time.monotonic() < self.slow_to:
            time.sleep(self.chunk / SLOW_BYTES_PER_S)
        return super()._more()


def servers_of(record, trouble):
    return [Server("s-%d" % i, record) for i in range(SERVERS)]


def play(gateway, record, trouble):
    breaks = []
    counts = {"value": 0, "-BUSY": 0, "-ERR": 0, "no answer": 0}
    sent = []
    sock = gateway.connect(timeout=PATIENCE_S, receive_buffer=RECEIVE_BUFFER)
    start = time.monotonic()
    ended = threading.Event()

    def send():
        while time.monotonic() < start + PLAY_S and not ended.is_set():
            numbers = range(len(sent), len(sent) + COMMANDS_AT_ONCE)
            ids = ["%016x" % (0x7000_0000 + number) for number in numbers]
            commands = [
                parties.command(
                    "Q.ASK", "%016x" % (0x20000 + number % 400), request_id, parties.terms("plan-read", DEADLINE_MS)
                )
                for number, request_id in zip(numbers, ids)
            ]
            try:
                sock.sendall(b"".join(commands))
            except OSError as e:
                record.write("client: sending %s to %s failed: %r" % (ids[0], ids[-1], e))
                return
            sent.extend(ids)
            record.write("client sent %s to %s" % (ids[0], ids[-1]))
            time.sleep(EVERY_S)

    sender = threading.Thread(target=send)
    sender.start()
    replies = ClientInput(sock, READ_BYTES)
    if trouble:
        replies.slow_from = start + SLOW_FROM_S
        replies.slow_to = replies.slow_from + SLOW_S
    answered = 0
    while sender.is_alive() or answered < len(sent):
        try:
            reply = replies.value()
        except TimeoutError:
            reply = None
            if not sender.is_alive() and answered == len(sent):
                break
        if reply is None:
            record.write("client: the connection ended, or no byte came for %d s" % PATIENCE_S)
            break
        request_id = sent[answered]
        answered += 1
        kind = "value" if isinstance(reply, bytes) else reply.split()[0]
        counts[kind] += 1
        record.write("client: %s got %s" % (request_id, kind))
        if isinstance(reply, bytes) and reply != value_of(request_id):
            breaks.append("%s got a value that is not its own" % request_id)
    ended.set()
    sender.join()
    sock.close()
    # A request that the gateway has not read may be sent once more; one that a server got was read.
    lost = [request_id for request_id in sent[answered:] if request_id in Server.ran]
    counts["no answer"] = len(sent) - answered
    counts["no answer, but run"] = len(lost)
    breaks += ["%s was read and run, and never answered" % request_id for request_id in lost]
    print(counts)
    record.write(str(counts))
    return breaks


parties.run_case(os.path.dirname(os.path.abspath(__file__)), servers_of, play)
