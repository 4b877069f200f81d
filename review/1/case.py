"""Second copies of answers from servers without TCP_NODELAY, while clients with connections of their own ask."""

import os
import random
import select
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import parties

SERVERS = 8
CLIENTS = 24
PLAY_S = 25
REQUESTS_PER_S = 100
WORK_S = (0.02, 0.06)
SECOND_COPIES = 0.02


class Server(parties.Server):
    """Gives each request a value of its own. A share of its answers is followed by a second copy."""

    def __init__(self, name, record, second_copies):
        self.second_copies = second_copies
        self.random = random.Random(name)
        super().__init__(name, record)

    def prepare(self, sock):
        pass  # an ordinary socket: TCP_NODELAY is not set

    def run(self, sock, commands, words):
        request_id = words[2].decode()
        time.sleep(self.random.uniform(*WORK_S))
        reply = parties.answer(("value of %s for %s" % (request_id, words[1].decode())).encode())
        sock.sendall(reply)
        self.record.write("%s ran %s and answered" % (self.name, request_id))
        waiting = commands.data or select.select([sock], [], [], 0)[0]
        if not waiting and self.random.random() < self.second_copies:
            sock.sendall(reply)
            self.record.write("%s answered %s a second time" % (self.name, request_id))


def servers_of(record, trouble):
    return [Server("s-%d" % i, record, SECOND_COPIES if trouble else 0) for i in range(SERVERS)]


def play(gateway, record, trouble):
    breaks = []
    counts = {"served": 0, "refused": 0, "failed": 0}
    lock = threading.Lock()
    ends = time.monotonic() + PLAY_S

    def client(number):
        chance = random.Random(number)
        sock = gateway.connect(timeout=12)
        replies = parties.RespInput(sock)
        sent = 0
        while time.monotonic() < ends:
            time.sleep(chance.expovariate(REQUESTS_PER_S / CLIENTS))
            customer = "%016x" % (0x10000 + number * 100 + sent % 10)
            request_id = "%016x" % (0x5000_0000 + number * 100_000 + sent)
            sent += 1
            sock.sendall(parties.command("Q.ASK", customer, request_id, parties.terms("plan-read", 8000)))
            reply = replies.value()
            expected = ("value of %s for %s" % (request_id, customer)).encode()
            with lock:
                if reply is None:
                    breaks.append("%s: connection ended without an answer" % request_id)
                elif isinstance(reply, bytes):
                    counts["served"] += 1
                    if reply != expected:
                        breaks.append("%s for %s was answered with: %s" % (request_id, customer, reply.decode()))
                elif reply.startswith("-BUSY"):
                    counts["refused"] += 1
                else:
                    counts["failed"] += 1
            record.write("client %d sent %s, got %r" % (number, request_id, reply))
            if reply is None:
                return
        sock.close()

    threads = [threading.Thread(target=client, args=(i,)) for i in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(counts)
    record.write(str(counts))
    return breaks


parties.run_case(os.path.dirname(os.path.abspath(__file__)), servers_of, play)
