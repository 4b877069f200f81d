"""Clients that stop half way in a command, again and again: other clients' requests are not answered."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from standins import (BROKEN, HELD, Client, Judge, NotRun, Server, command, free_address, platform, play,
                      settings, trouble)

BAD_CLIENTS = 100
HALF_COMMAND_BYTES = 60_000
BAD_BODY_BYTES = 64_000
ORDINARY_CLIENTS = 20
ORDINARY_BODY_BYTES = 20_000
QUIET_MS = 3000  # at first, without bad clients
LENGTH_MS = 18_000
D_MS = 4000


async def case(record, folder, gateways):
    servers = [Server(record, "s%d" % i, work_s=0.05) for i in range(8)]
    gateway = await platform(record, folder, gateways, servers, settings(), memory_mb=96, sockets=512,
                             management=free_address())
    judge = Judge(record)
    end_ms = record.now_ms() + LENGTH_MS
    count = 0
    turned_away = 0
    half = command("Q.DO", "%016x" % 5, "%016x" % 0xBAD, "c=closure-post,t=basico,d=4000,k=1,units=1,spread=1,first=0",
                   b"x" * BAD_BODY_BYTES)[:HALF_COMMAND_BYTES]

    async def ordinary(number):
        nonlocal count
        connection = await Client(record, gateway.configuration["listen"]).connect()
        while connection is not None and record.now_ms() < end_ms:
            if connection.writer is None:
                await connection.connect()
            count += 1
            request_id = "%016x" % count
            connection = await judge.request(connection, gateway, request_id, D_MS, customer=100 + number,
                                             cls="closure-post", verb="Q.DO", key=request_id,
                                             body=b"b" * ORDINARY_BODY_BYTES)
            await asyncio.sleep(0.05)

    async def bad(number):
        nonlocal turned_away
        await asyncio.sleep(QUIET_MS / 1000)
        while record.now_ms() < end_ms:
            client = Client(record, gateway.configuration["listen"])
            try:
                await client.connect()
                client.writer.write(half)
                await client.writer.drain()
                got = await asyncio.wait_for(client.reader.read(200), 10)
                end = got.decode().strip() or "a close"
            except (OSError, asyncio.TimeoutError) as e:
                end = type(e).__name__
            turned_away += 1
            record.note("bad client %d wrote half a command, got %s" % (number, end))
            client.close()
            await asyncio.sleep(0.005)

    await asyncio.gather(*[ordinary(number) for number in range(ORDINARY_CLIENTS)],
                         *[bad(number) for number in range(BAD_CLIENTS if trouble() else 0)])
    if not judge.answers:
        raise NotRun("no request was answered")
    ended = gateway.process.returncode
    record.note("the gateway's log ends with: " + gateway.log()[-1500:])
    record.result("%d ordinary requests, answers %s, lost %d, %d half commands turned away, gateway %s" % (
        count, judge.answers, len(judge.lost), turned_away,
        "runs" if ended is None else "ended with exit code %d" % ended))
    return BROKEN if judge.lost or ended is not None else HELD


play(__file__, case)
