"""Stand-ins for the parties around one gateway, on loopback addresses, and the start of the gateway itself.

Discovery, the counter and the servers follow the users' protocol page. Each runs in threads of the test's own process;
the gateway is a process of its own, started with the `run` line of the deploy file.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LOOPBACK = "127.0.0.1"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="ascii", errors="backslashreplace")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def write(self, text):
        with self._lock:
            if not self._file.closed:
                self._file.write("%9.3f  %s\n" % (time.monotonic() - self._start, text))

    def close(self):
        with self._lock:
            self._file.close()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def command(*words):
    """A RESP2 command: an array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        data = word if isinstance(word, bytes) else word.encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(data), data))
    return b"".join(parts)


class RespInput:
    """Reads RESP2 from a socket. Each call returns None at the end of the stream."""

    def __init__(self, sock, chunk=1 << 16):
        self.sock = sock
        self.chunk = chunk
        self.data = bytearray()

    def _more(self):
        try:
            got = self.sock.recv(self.chunk)
        except (ConnectionError, OSError) as e:
            if isinstance(e, TimeoutError):
                raise
            return False
        self.data += got
        return bool(got)

    def line(self):
        while True:
            end = self.data.find(b"\r\n")
            if end >= 0:
                text = bytes(self.data[:end])
                del self.data[: end + 2]
                return text
            if not self._more():
                return None

    def exactly(self, count):
        while len(self.data) < count:
            if not self._more():
                return None
        text = bytes(self.data[:count])
        del self.data[:count]
        return text

    def value(self):
        """A bulk string as bytes, an error or status line as str, an array as list."""
        head = self.line()
        if head is None:
            return None
        kind, rest = head[:1], head[1:]
        if kind == b"*":
            items = []
            for _ in range(int(rest)):
                item = self.value()
                if item is None:
                    return None
                items.append(item)
            return items
        if kind == b"$":
            text = self.exactly(int(rest) + 2)
            return None if text is None else text[:-2]
        return head.decode("latin-1")


class Listening:
    """Accepts connections, each served by a thread of its own."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((LOOPBACK, 0))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            self.serve(sock)
        except (ConnectionError, OSError):
            pass
        except Exception:
            traceback.print_exc()
        finally:
            sock.close()

    def serve(self, sock):
        raise NotImplementedError


class Counter(Listening):
    """The shared counter: CNT.ADD NAME AMOUNT LIFE answers with the total."""

    def __init__(self):
        self.totals = {}
        self.lock = threading.Lock()
        super().__init__()

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        calls = RespInput(sock)
        while True:
            words = calls.value()
            if words is None:
                return
            verb = words[0]
            if verb == b"PING":
                sock.sendall(b"+PONG\r\n")
            elif verb in (b"CLIENT", b"SELECT"):
                sock.sendall(b"+OK\r\n")
            elif verb == b"CNT.ADD" and len(words) == 4:
                text = ("%.7g" % self.add(words[1], float(words[2]), float(words[3]))).encode()
                sock.sendall(b"$%d\r\n%s\r\n" % (len(text), text))
            else:
                sock.sendall(b"-ERR no such call\r\n")

    def add(self, name, amount, life_ms):
        now = time.monotonic()
        with self.lock:
            total, ends = self.totals.get(name, (0.0, 0.0))
            if now >= ends:
                total, ends = 0.0, now + min(life_ms, 60_000) / 1000
            total += amount
            self.totals[name] = (total, ends)
            return total


class Discovery(Listening):
    """Discovery's agent: the whole list, and watches with a line at least every 2 s."""

    def __init__(self):
        self.seq = 41
        self.hosts = []
        super().__init__()

    def list_line(self):
        document = {"seq": self.seq, "whole": True, "hosts": self.hosts}
        return (json.dumps(document) + "\n").encode()

    def serve(self, sock):
        head = b""
        while b"\r\n\r\n" not in head:
            got = sock.recv(4096)
            if not got:
                return
            head += got
        watch = b"watch=1" in head.split(b"\r\n")[0]
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.chunk(sock, self.list_line())
        if not watch:
            sock.sendall(b"0\r\n\r\n")
            return
        while True:
            time.sleep(1.5)
            self.chunk(sock, b"\n")

    @staticmethod
    def chunk(sock, data):
        sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))


class Server(Listening):
    """A server. Subclasses say what it does with a command; commands of a connection go in order."""

    def __init__(self, name, record, block=0):
        self.name = name
        self.record = record
        self.block = block
        super().__init__()

    def entry(self):
        return {
            "host": self.name,
            "dial": "%s:%d" % (LOOPBACK, self.port),
            "site": "sala",
            "class": "std",
            "block": self.block,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }

    def serve(self, sock):
        self.prepare(sock)
        commands = RespInput(sock)
        while True:
            words = commands.value()
            if words is None:
                return
            if words[0] in (b"CLIENT", b"SELECT"):
                sock.sendall(b"+OK\r\n")
            elif words[0] in (b"Q.ASK", b"Q.DO"):
                self.run(sock, commands, words)
            else:
                sock.sendall(b"-ERR unknown command\r\n")

    def prepare(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def run(self, sock, commands, words):
        raise NotImplementedError


def answer(value):
    """An answer as servers give it: the value, no figures on use, no load report."""
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


def settings(gateways=1):
    """The settings object of a small deployment, in microseconds where a name ends in Us."""
    safe = {"Effect": "read_like", "Group": "all", "Stream": False, "WindowUs": 5_000_000, "LateWorth": 0.0}
    return {
        "Az": "sala",
        "Azs": ["sala"],
        "Classes": [
            dict(safe, Name="plan-read", HardLimitUs=8_000_000, OnTimeUs=2_000_000, Value=1.0),
            dict(safe, Name="route-find", HardLimitUs=8_000_000, OnTimeUs=2_000_000, Value=2.0, LateWorth=0.2),
            {
                "Name": "closure-post",
                "Effect": "idempotency_key",
                "Group": "cell",
                "HardLimitUs": 5_000_000,
                "OnTimeUs": 1_500_000,
                "LateWorth": 0.0,
                "Value": 5.0,
                "Stream": False,
                "WindowUs": 10_000_000,
            },
        ],
        "Clients": {"MarksRetry": False},
        "Discovery": "automatic",
        "Family": "gate",
        "Limits": {
            "Cancel": True,
            "ConnectTimeoutUs": 250_000,
            "KeepaliveUs": 15_000_000,
            "MaxAttempts": 5,
            "MaxRetryAfterUs": 2_000_000,
            "MayDuplicate": True,
            "Multiplex": 32,
            "OpenCap": 20_000,
            "Peers": False,
            "Probes": False,
            "RetryAfter": True,
        },
        "LoadInfo": {"Fields": [], "How": "silent"},
        "Models": ["std"],
        "MyNumber": 0,
        "NInstances": gateways,
        "ResultMix": {"Whole": 0.6, "WorstClass": 0.0, "WorstTenant": 0.15, "WorstWindow": 0.25},
        "Rules": {
            "AnswerSlackUs": 16_000,
            "AskWithinUs": 10_000_000,
            "ColdFrom": 0.31,
            "ColdUs": 17_000_000,
            "DrainGraceUs": 250_000,
            "FallMultiple": 2.5,
            "FallUs": 1_500_000,
        },
        "Specifics": {
            "Counter": True,
            "CountFee": 0.01,
            "CountLimitUs": 80_000,
            "PeerInPerS": 100.0,
            "PostPaid": False,
            "UnitsTop": 6,
        },
        "Stage": 0,
        "Tariffs": [
            {"Name": "basico", "QuotaRate": 2.0, "MostAtOnce": 10.0, "Price": 1.2, "OverrunCost": 1.0},
            {"Name": "completo", "QuotaRate": 12.0, "MostAtOnce": 24.0, "Price": 1.8, "ExtraWorth": 0.1},
        ],
        "TickUs": 4_000,
    }


class Gateway:
    """The gateway, started with the `run` line of the deploy file."""

    def __init__(self, folder, discovery, counter, memory_mb=192, sockets=1024):
        self.port = free_port()
        peer = "%s:%d" % (LOOPBACK, free_port(socket.SOCK_DGRAM))
        self.config = os.path.join(folder, "config.json")
        document = {
            "name": "n0",
            "listen": "%s:%d" % (LOOPBACK, self.port),
            "discovery": "%s:%d" % (LOOPBACK, discovery.port),
            "counter": "%s:%d" % (LOOPBACK, counter.port),
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "peer_listen": peer,
            "peers": [peer],
            "peers_all": "%s:%d" % (LOOPBACK, free_port(socket.SOCK_DGRAM)),
            "known": {"seq": discovery.seq, "whole": True, "hosts": discovery.hosts},
            "settings": settings(),
        }
        with open(self.config, "w", encoding="ascii") as file:
            json.dump(document, file)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        temporary = os.path.join(folder, "tmp")
        os.mkdir(temporary)
        self.log_path = os.path.join(folder, "gateway.log")
        self.log = open(self.log_path, "wb")
        environment = dict(
            os.environ,
            ROUTER_NAME="n0",
            ROUTER_LISTEN=document["listen"],
            ROUTER_DISCOVERY=document["discovery"],
            ROUTER_CONFIG=self.config,
            TMPDIR=temporary,
        )
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL
        )

    def await_ready(self, limit_s=30):
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends and self.process.poll() is None:
            try:
                with self.connect(timeout=1) as sock:
                    sock.sendall(command("PING"))
                    if RespInput(sock).line() == b"+PONG":
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError("the gateway did not become ready")

    def connect(self, timeout=None, receive_buffer=0):
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.settimeout(timeout)
        sock.connect((LOOPBACK, self.port))
        return sock

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.log.close()


def terms(request_class, deadline_ms, plan="basico", key=None):
    text = "c=%s,t=%s,d=%d" % (request_class, plan, deadline_ms)
    if key:
        text += ",k=" + key
    return text + ",units=1,spread=1,first=0"


def run_case(case_folder, servers_of, play):
    """Runs one case and exits with its result.

    servers_of(record, trouble) makes the servers; play(gateway, record, trouble) returns the list of breaks of the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case_folder)
    gateway = None
    code = EXIT_NOT_RUN

    def end_early(number, frame):
        if gateway:
            gateway.stop()
        os._exit(EXIT_NOT_RUN)

    signal.signal(signal.SIGTERM, end_early)
    signal.signal(signal.SIGINT, end_early)
    with tempfile.TemporaryDirectory() as folder:
        try:
            servers = servers_of(record, trouble)
            counter = Counter()
            discovery = Discovery()
            discovery.hosts = [server.entry() for server in servers]
            gateway = Gateway(folder, discovery, counter)
            gateway.await_ready()
            record.write("gateway ready; disruption %s" % ("on" if trouble else "off"))
            breaks = play(gateway, record, trouble)
            if gateway.process.poll() is not None:
                breaks.append("the gateway ended with code %s" % gateway.process.returncode)
            for text in breaks:
                record.write("BREAK " + text)
            result = "the rule was broken %d times" % len(breaks) if breaks else "the rule held"
            record.write(result)
            print(result)
            code = EXIT_BROKEN if breaks else EXIT_HELD
        except Exception as e:
            traceback.print_exc()
            record.write("could not run: %r" % e)
            code = EXIT_NOT_RUN
        finally:
            if gateway:
                gateway.stop()
                with open(gateway.log_path, "r", encoding="utf-8", errors="replace") as log:
                    for line in log.read().splitlines()[:200]:
                        record.write("gateway log: " + line)
            record.close()
    sys.stdout.flush()
    os._exit(code)
