"""Stand-ins of the second review: discovery, counter, servers, clients, and the gateway's process.

Everything but the gateway runs in one asyncio loop, on loopback addresses. A stand-in behaves as a
sound party of the protocol page, unless a case overrides a method.
"""
import asyncio
import json
import logging
import os
import shutil
import signal
import socket
import sys
import tempfile
import time

HELD = 0
BROKEN = 1
NOT_RUN = 2
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
READ_LIMIT = 8 << 20
RUN_LIMIT_S = 112

# Up to this long after its time an answer only earns nothing; later, or never, the request is lost.
LATE_MS = 550


logging.getLogger("asyncio").setLevel(logging.CRITICAL)


class NotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % probe.getsockname()[1]


def host_port(address):
    host, port = address.split(":")
    return host, int(port)


def command(*words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        data = word if isinstance(word, bytes) else str(word).encode()
        out.append(b"$%d\r\n%s\r\n" % (len(data), data))
    return b"".join(out)


class Closed(Exception):
    """The peer closed the connection, or reset it."""


async def read_line(reader):
    try:
        line = await reader.readuntil(b"\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as e:
        raise Closed(type(e).__name__)
    return line[:-2]


async def read_exactly(reader, count):
    try:
        return await reader.readexactly(count)
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as e:
        raise Closed(type(e).__name__)


async def read_command(reader):
    line = await read_line(reader)
    if line[:1] != b"*":
        raise NotRun("not a command: %r" % line)
    words = []
    for _ in range(int(line[1:])):
        length = int((await read_line(reader))[1:])
        words.append((await read_exactly(reader, length + 2))[:-2])
    return words


async def read_answer(reader):
    """Returns (type, content): '$' with the value, '-' or '+' with the line."""
    line = await read_line(reader)
    kind = line[:1].decode()
    if kind == "$":
        return kind, (await read_exactly(reader, int(line[1:]) + 2))[:-2]
    if kind == "*":
        values = [await read_answer(reader) for _ in range(int(line[1:]))]
        return values[0]
    return kind, line[1:]


class Record:
    """record.txt: what was sent, answered and run, with the time in ms since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.last = ""

    def now_ms(self):
        return (time.monotonic() - self.start) * 1000

    def note(self, text):
        self.file.write("%9.1f %s\n" % (self.now_ms(), text))

    def result(self, text):
        """What the case has come to; printed too."""
        self.last = text
        self.note(text)


class Discovery:
    """Tells the list of servers, which never changes, as an agent on the gateway's machine does."""

    def __init__(self, record):
        self.record = record
        self.seq = 1
        self.hosts = {}
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    def whole(self):
        return json.dumps({"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())})

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            path = head.split(b" ")[1].decode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         b"Transfer-Encoding: chunked\r\n\r\n")
            if "watch=1" not in path:
                self.chunk(writer, self.whole() + "\n")
                writer.write(b"0\r\n\r\n")
                return
            after = int(path.split("after=")[1].split("&")[0]) if "after=" in path else 0
            if after < self.seq:
                self.chunk(writer, self.whole() + "\n")
            else:
                self.chunk(writer, "\n")
            while True:
                await asyncio.sleep(1.9)
                self.chunk(writer, "\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    @staticmethod
    def chunk(writer, text):
        data = text.encode()
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def list_server(self, server):
        """Lists a server from the start."""
        self.hosts[server.name] = server.entry()


class Counter:
    """Adds and tells totals."""

    def __init__(self, record):
        self.record = record
        self.totals = {}
        self.calls = 0
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                words = await read_command(reader)
                if words[0] != b"CNT.ADD":
                    writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"+OK\r\n")
                    continue
                self.calls += 1
                now = time.monotonic()
                total, until = self.totals.get(words[1], (0.0, now + int(words[3]) / 1000))
                if until <= now:
                    total, until = 0.0, now + int(words[3]) / 1000
                total += float(words[2])
                self.totals[words[1]] = (total, until)
                text = b"%.7g" % total
                writer.write(b"$%d\r\n%s\r\n" % (len(text), text))
        except (Closed, ConnectionError, OSError):
            pass
        finally:
            writer.close()


def terms_of(words):
    return dict(pair.split("=", 1) for pair in words[3].decode().split(","))


class Run:
    """One command that a server has received whole."""

    def __init__(self, server, connection, words):
        self.server = server
        self.connection = connection
        self.words = words
        self.verb = words[0].decode()
        self.id = words[2].decode()
        self.terms = terms_of(words)
        self.body = words[4] if len(words) > 4 else b""


class Server:
    """Answers each command after its work, in order on a connection."""

    def __init__(self, record, name, work_s=0.02, cell=0):
        self.record = record
        self.name = name
        self.work_s = work_s
        self.cell = cell
        self.runs = []
        self.address = None
        self.listener = None

    async def start(self):
        host, port = host_port(self.address) if self.address else ("127.0.0.1", 0)
        self.listener = await asyncio.start_server(self.serve, host, port, limit=READ_LIMIT,
                                                   backlog=512)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]
        return self

    def entry(self, health="ready", born_ms=0):
        return {"host": self.name, "dial": self.address, "site": "a", "class": "m", "block": self.cell,
                "health": health, "share": 1.0, "born_ms": born_ms}

    async def serve(self, reader, writer):
        try:
            while True:
                words = await read_command(reader)
                if words[0] in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                    continue
                run = Run(self, writer, words)
                self.runs.append(run)
                self.record.note("%s runs %s %s" % (self.name, run.id, words[3].decode()))
                await self.answer(run, writer)
                await writer.drain()
        except (Closed, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, run, writer):
        await asyncio.sleep(self.work_s)
        self.write_value(writer, self.value(run))

    def value(self, run):
        return ("value of " + run.id).encode()

    @staticmethod
    def write_value(writer, value):
        writer.write(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value))


def request_class(name, effect="read_like", group="all", target_ms=2000, timeout_ms=8000,
                  window_ms=10000, late=0.0, value=1.0):
    return {"Effect": effect, "Group": group, "HardLimitUs": timeout_ms * 1000, "LateWorth": late,
            "Name": name, "OnTimeUs": target_ms * 1000, "Stream": False, "Value": value,
            "WindowUs": window_ms * 1000}


def settings(**changes):
    """The settings of a small deployment, as the wire page shows them."""
    base = {
        "Az": "a", "Azs": ["a"],
        "Classes": [
            request_class("plan-read"),
            request_class("route-find", late=0.2, value=2.0),
            request_class("closure-post", "idempotency_key", "cell", 1500, 5000, 10000, value=5.0)],
        "Clients": {"MarksRetry": False}, "Discovery": "automatic", "Family": "gate",
        "Limits": {"Cancel": True, "ConnectTimeoutUs": 250000, "CpuUsPerRequest": 0.0,
                   "CpuUsPerS": 500000, "KeepaliveUs": 15000000, "MaxAttempts": 5,
                   "MaxRetryAfterUs": 2000000, "MayDuplicate": True, "Multiplex": 32,
                   "OpenCap": 20000, "Peers": True, "Probes": False, "RetryAfter": True},
        "LoadInfo": {"Fields": [], "How": "silent"}, "Models": ["m"], "MyNumber": 0, "NInstances": 2,
        "ResultMix": {"Whole": 0.6, "WorstClass": 0.0, "WorstTenant": 0.15, "WorstWindow": 0.25},
        "Rules": {"AnswerSlackUs": 16000, "AskWithinUs": 10000000, "ColdFrom": 0.31,
                  "ColdUs": 17000000, "DrainGraceUs": 250000, "FallMultiple": 2.5, "FallUs": 1500000},
        "Specifics": {"CountFee": 0.01, "CountLimitUs": 80000, "Counter": True, "MeteringUs": 0,
                      "PeerInPerS": 100.0, "PostPaid": True, "UnitsTop": 6},
        "Stage": 0,
        "Tariffs": [
            {"CapDepth": 0.0, "CapRate": 0.0, "ExtraWorth": 0.0, "HardSlack": 0.0, "MaxOut": 0,
             "MostAtOnce": 5000.0, "Name": "basico", "OverrunCost": 1.0, "Price": 1.2,
             "QuotaRate": 1000.0},
            {"CapDepth": 67.0, "CapRate": 30.0, "ExtraWorth": 0.1, "HardSlack": 7.0, "MaxOut": 0,
             "MostAtOnce": 33.0, "Name": "completo", "OverrunCost": 0.0, "Price": 1.8,
             "QuotaRate": 15.0}],
        "TickUs": 4000, "Tiers": ["map-nodes"], "WeightSource": "nominal"}
    for key, value in changes.items():
        if isinstance(value, dict):
            base[key].update(value)
        else:
            base[key] = value
    return base


class Gateway:
    """One process of a gateway, started by the line `run` of the deploy file."""

    def __init__(self, record, folder, configuration, name="gateway"):
        self.record = record
        self.folder = folder
        self.name = name
        self.file = os.path.join(folder, name + ".json")
        self.configuration = configuration
        self.process = None

    async def start(self, ready_s=20):
        with open(self.file, "w", encoding="utf-8") as out:
            json.dump(self.configuration, out)
        log = open(os.path.join(self.folder, self.name + ".log"), "wb")
        environment = dict(os.environ)
        environment.update({
            "ROUTER_CONFIG": self.file, "TMPDIR": self.folder,
            "ROUTER_NAME": self.configuration["name"], "ROUTER_LISTEN": self.configuration["listen"],
            "ROUTER_DISCOVERY": self.configuration["discovery"]})
        self.process = await asyncio.create_subprocess_shell(
            "exec sh deploy/gateway.sh", cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, start_new_session=True)
        self.record.note("%s started" % self.name)
        if ready_s:
            await self.await_ready(ready_s)
        return self

    async def await_ready(self, ready_s):
        until = time.monotonic() + ready_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise NotRun("%s ended at the start: %s" % (self.name, self.log()))
            try:
                reader, writer = await asyncio.open_connection(
                    *host_port(self.configuration["listen"]))
                writer.write(command("PING"))
                kind, line = await asyncio.wait_for(read_answer(reader), 2)
                writer.close()
                if (kind, line) == ("+", b"PONG"):
                    self.record.note("%s is ready" % self.name)
                    return
            except (Closed, ConnectionError, OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise NotRun("%s not ready within %s s" % (self.name, ready_s))

    def signal(self, number):
        self.record.note("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log(self):
        with open(os.path.join(self.folder, self.name + ".log"), errors="replace") as log:
            return log.read()[-4000:]


def configuration(discovery, counter, servers, own_settings, memory_mb=192, sockets=1024,
                  management=None, name="n0"):
    peer = free_address()
    made = {
        "name": name, "listen": free_address(), "discovery": discovery.address,
        "counter": counter.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "peer_listen": peer, "peers": [peer, free_address()], "peers_all": free_address(),
        "known": {"seq": discovery.seq, "whole": True, "hosts": [s.entry() for s in servers]},
        "settings": own_settings}
    if management:
        made["management"] = management
    return made


class Client:
    """One connection of a client."""

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.reader = self.writer = None

    async def connect(self, receive_bytes=None):
        sock = socket.socket()
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(sock, host_port(self.address))
        limit = receive_bytes or READ_LIMIT
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=limit)
        return self

    def ask(self, request_id, cls="plan-read", d=8000, customer=1, plan="basico", units=1, spread=1,
            first=0, verb="Q.ASK", key=None, body=None):
        terms = "c=%s,t=%s,d=%d,%sunits=%s,spread=%d,first=%d" % (
            cls, plan, d, "k=%s," % key if key else "", units, spread, first)
        words = [verb, "%016x" % customer, request_id, terms]
        if body is not None:
            words.append(body)
        self.record.note("client sends %s %s %s" % (verb, request_id, terms))
        self.writer.write(command(*words))

    async def answer(self, timeout_s):
        return await asyncio.wait_for(read_answer(self.reader), timeout_s)

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def platform(record, folder, gateways, servers, own_settings, **limits):
    """Starts discovery, counter, servers and one gateway, and returns the gateway."""
    discovery = await Discovery(record).start()
    counter = await Counter(record).start()
    for server in servers:
        discovery.list_server(await server.start())
    gateway = Gateway(record, folder, configuration(discovery, counter, servers, own_settings, **limits))
    gateways.append(gateway)
    return await gateway.start()


class Judge:
    """What an ordinary client is owed: one final answer to each request, in time."""

    def __init__(self, record):
        self.record = record
        self.answers = {}
        self.lost = []

    def lose(self, request_id, why):
        self.lost.append(request_id)
        self.record.note("LOST %s: %s" % (request_id, why))

    async def request(self, client, gateway, request_id, d, **terms):
        """Sends a request, once more on a new connection if a close may have crossed it.

        Returns the client to go on with, or None when the gateway takes no connections any more.
        """
        sent_ms = self.record.now_ms()
        for attempt in range(2):
            if client is None:
                try:
                    client = await Client(self.record, gateway.configuration["listen"]).connect()
                except OSError as e:
                    self.lose(request_id, "no connection: %s" % e)
                    return None
            left_ms = d - (self.record.now_ms() - sent_ms)
            try:
                client.ask(request_id, d=max(1, left_ms), **terms)
                kind, content = await client.answer(max(0.001, (left_ms + LATE_MS) / 1000))
                name = "value" if kind == "$" else content.decode().split(" ")[0]
                self.answers[name] = self.answers.get(name, 0) + 1
                self.record.note("client gets %s %s" % (request_id, content[:40].decode()))
                return client
            except asyncio.TimeoutError:
                self.lose(request_id, "no answer %.0f ms after it was sent, d=%d"
                          % (self.record.now_ms() - sent_ms, d))
                client.close()
                return Client(self.record, gateway.configuration["listen"])
            except (Closed, ConnectionError) as e:
                self.record.note("client sees the end of the connection of %s: %s" % (request_id, e))
                client.close()
                client = None
        self.lose(request_id, "the connection was closed without an answer, twice")
        return Client(self.record, gateway.configuration["listen"])


def play(case_file, case):
    """Runs the coroutine case(record, folder); its return value is the exit code."""
    record = Record(os.path.dirname(os.path.abspath(case_file)))
    folder = tempfile.mkdtemp(prefix="review-")
    gateways = []

    async def guarded():
        try:
            return await asyncio.wait_for(case(record, folder, gateways), RUN_LIMIT_S)
        finally:
            for gateway in gateways:
                await gateway.end()

    try:
        code = asyncio.run(guarded())
    except (NotRun, asyncio.TimeoutError, OSError) as e:
        record.note("not run: %s %s" % (type(e).__name__, e))
        code = NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.note("exit code %d" % code)
    record.file.close()
    print(record.last)
    sys.stdout.flush()
    os._exit(code)  # without the farewells of open connections
