"""Clients that send many commands at once: answers that are kept behind a slow one exceed the heap."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import (BROKEN, HELD, RUN_LIMIT_S, Client, Closed, NotRun, Server, platform, play, settings,
                      trouble)

CLIENTS = 11
COMMANDS = 50
ROUNDS = 6
VALUE_BYTES = 64_000
SLOW_WORK_S = 1.8
SLOW_ID = "aaaa"
WARM_ID = "cccc"


class MapNode(Server):
    async def answer(self, run, writer):
        await asyncio.sleep(SLOW_WORK_S if run.id.startswith(SLOW_ID) else self.work_s)
        self.write_value(writer, self.value(run))

    def value(self, run):
        value = run.id.encode()
        return value if run.id.startswith(WARM_ID) else value + b"x" * (VALUE_BYTES - len(value))


async def case(record, folder, gateways):
    servers = [MapNode(record, "s%d" % i) for i in range(8)]
    gateway = await platform(record, folder, gateways, servers, settings(), memory_mb=96, sockets=512)
    answers = {}
    lost = []

    def ran(request_id):
        return any(run.id == request_id for server in servers for run in server.runs)

    async def warm_up(number):
        client = await Client(record, gateway.configuration["listen"]).connect()
        end_ms = record.now_ms() + 5000
        count = 0
        while record.now_ms() < end_ms:
            client.ask("%s%04x%08x" % (WARM_ID, number, count), customer=100 + number)
            count += 1
            kind, _ = await client.answer(9)
            await asyncio.sleep(0 if kind == "$" else 0.05)
        client.close()

    def count_answer(kind, content, request_id):
        name = "value" if kind == "$" else content.decode().split(" ")[0]
        if kind == "$" and not content.startswith(request_id.encode()):
            name = "foreign value"
        answers[name] = answers.get(name, 0) + 1
        record.note("client gets %s %s" % (request_id, content[:24].decode()))

    async def play_client(number, played):
        client = await Client(record, gateway.configuration["listen"]).connect()
        ids = ["%s%02x%02x%08x" % (SLOW_ID if i == 0 else "bbbb", played, number, i) for i in range(COMMANDS)]
        answered = 0
        try:
            if trouble():
                for request_id in ids:
                    client.ask(request_id, customer=1 + number)
            for request_id in ids:
                if not trouble():
                    client.ask(request_id, customer=1 + number)
                count_answer(*await client.answer(12), request_id)
                answered += 1
        except (Closed, ConnectionError) as e:
            unanswered = [request_id for request_id in ids[answered:] if ran(request_id)]
            lost.extend(unanswered)
            record.note("client %d: the gateway closed the connection (%s) after %d of %d answers; of the others"
                        " a server had got %d: %s" % (number, e, answered, COMMANDS, len(unanswered), unanswered))
        except asyncio.TimeoutError:
            lost.append(ids[answered])
            record.note("client %d: no answer within 12 s: %s" % (number, ids[answered]))
        client.close()

    await asyncio.gather(*[warm_up(number) for number in range(30)])
    for played in range(ROUNDS):
        if lost or record.now_ms() > (RUN_LIMIT_S - 30) * 1000:
            break
        await asyncio.gather(*[play_client(number, played) for number in range(CLIENTS)])
        await asyncio.sleep(0.5)
    if not answers:
        raise NotRun("no request was answered")
    ended = gateway.process.returncode
    record.note("the gateway's log ends with: " + gateway.log()[-1500:])
    record.result("answers %s, forwarded and then lost %d, gateway %s" % (
        answers, len(lost), "runs" if ended is None else "ended with exit code %d" % ended))
    return BROKEN if lost or ended is not None or "foreign value" in answers else HELD


play(__file__, case)
