"""Clients that send hundreds of commands out of range at once, behind a request that is still open."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import (BROKEN, HELD, Client, Closed, Judge, Server, command, free_address, platform, play,
                      settings, trouble)

BAD_CLIENTS = 150
COMMANDS_AT_ONCE = 900
ROUNDS = 2
SLOW_WORK_S = 1.5
ORDINARY_CLIENTS = 10
D_MS = 2500
SLOW_ID = "aaaa"


class MapNode(Server):
    """Answers the bad clients' first requests within the response target of 2 s, but late in it."""

    async def answer(self, run, writer):
        await asyncio.sleep(SLOW_WORK_S if run.id.startswith(SLOW_ID) else self.work_s)
        self.write_value(writer, self.value(run))


async def case(record, folder, gateways):
    servers = [MapNode(record, "s%d" % i) for i in range(8)]
    gateway = await platform(record, folder, gateways, servers, settings(), memory_mb=96, sockets=512,
                             management=free_address())
    judge = Judge(record)
    count = 0
    out_of_range = command("Q.ASK", "%016x" % 7, "%016x" % 7,
                           "c=plan-read,t=basico,d=8000,units=7,spread=9,first=9")

    async def ordinary(number, until_ms):
        nonlocal count
        connection = await Client(record, gateway.configuration["listen"]).connect()
        while record.now_ms() < until_ms:
            if connection.writer is None:
                await connection.connect()
            count += 1
            request_id = "%016x" % count
            connection = await judge.request(connection, gateway, request_id, D_MS, customer=100 + number,
                                             cls="closure-post", verb="Q.DO", key=request_id, body=b"closed")
            if connection is None:
                return
            await asyncio.sleep(0.05)
        connection.close()

    async def bad(number, played):
        client = await Client(record, gateway.configuration["listen"]).connect()
        client.ask("%s%04x%08x" % (SLOW_ID, played, number), customer=1000 + number)
        expected = 1
        if trouble():
            client.writer.write(out_of_range * COMMANDS_AT_ONCE)
            record.note("bad client %d sends %d commands out of range" % (number, COMMANDS_AT_ONCE))
            expected += COMMANDS_AT_ONCE
        got = 0
        try:
            while got < expected:
                await client.answer(20)
                got += 1
        except (Closed, asyncio.TimeoutError) as e:
            record.note("bad client %d: %s" % (number, type(e).__name__))
        record.note("bad client %d got %d answers of %d" % (number, got, expected))
        client.close()

    await asyncio.gather(*[ordinary(number, record.now_ms() + 3000) for number in range(ORDINARY_CLIENTS)])
    for played in range(ROUNDS):
        await asyncio.gather(
            *[bad(number, played) for number in range(BAD_CLIENTS)],
            *[ordinary(number, record.now_ms() + 8000) for number in range(ORDINARY_CLIENTS)])
        if judge.lost or gateway.process.returncode is not None:
            break
    ended = gateway.process.returncode
    record.note("the gateway's log ends with: " + gateway.log()[-1500:])
    record.result("%d ordinary requests, answers %s, lost %d, gateway %s" % (
        count, judge.answers, len(judge.lost), "runs" if ended is None else "ended with exit code %d" % ended))
    return BROKEN if judge.lost or ended is not None else HELD


play(__file__, case)
