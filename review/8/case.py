"""Loan servers close idle connections early, some as soon as they have written an answer: do the clients get their long values whole?"""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-2"))
from standins import *  # noqa: E402,F403

CLIENTS, SECONDS, DEADLINE = 20, 12, 2500
# One value in three is long; one connection in ten is closed right behind an answer.
LONG, SIZES, CLOSED = 0.33, (66 * 1024, 512 * 1024), 0.1
draw = random.Random(59)
sizes = {}
closed = 0


async def behave(server, words, writer):
    global closed
    await asyncio.sleep(draw.uniform(0.048, 0.088))
    writer.write(served(value_of(words[2], sizes[words[2]])))
    if TROUBLE and draw.random() < CLOSED:
        closed += 1
        server.record(f"{server.uid} closes the connection behind the answer to {words[2].decode()}")
        writer.close()


async def client(site, gatekeeper, number, until, breaks, counts):
    reader = None
    serial = 0
    while time.monotonic() < until:
        if reader is None:
            reader, writer = await asyncio.open_connection(*gatekeeper.listen, limit=1024 * 1024)
        request_id = f"{number:04x}{serial:08x}"
        serial += 1
        size = draw.randint(*SIZES) if draw.random() < LONG else 0
        sizes[request_id.encode()] = size
        site.record(f"send {request_id}, value of {size} bytes")
        sent = time.monotonic()
        writer.write(request(request_id, DEADLINE, spread=1))
        try:
            kind, value = await asyncio.wait_for(read_reply(reader), 6)
            end = "whole" if kind != b"$" or value == value_of(request_id.encode(), size) else f"wrong: {value[:60]!r}"
            counts[kind] = counts.get(kind, 0) + 1
        except asyncio.IncompleteReadError as error:
            end = f"end of stream, with {len(error.partial)} of the {size + 2} bytes behind the head"
        except (asyncio.TimeoutError, OSError) as error:
            end = type(error).__name__
        site.record(f"answer {request_id}: {end}, {time.monotonic() - sent:.3f} s after the request")
        if end != "whole":
            breaks.append(f"request {request_id}, value of {size} bytes: {end}")
            writer.close()
            reader = None
        await asyncio.sleep(draw.expovariate(1 / 0.08))
    if reader is not None:
        writer.close()


async def play(site):
    servers = [await LoanServer(f"s-{n}", behave, site.record).start() for n in range(12)]
    agent = await Agent([server.entry() for server in servers]).start()
    counter = await Counter().start()
    gatekeeper = Gatekeeper(site, "n0", agent, counter, settings([read_class(deadline_ms=DEADLINE)], gatekeepers=1)).start()
    await gatekeeper.ready()
    await asyncio.sleep(1)
    breaks, counts = [], {}
    until = time.monotonic() + SECONDS
    await asyncio.gather(*(client(site, gatekeeper, n, until, breaks, counts) for n in range(CLIENTS)))
    site.record.say(f"answers by kind: {counts}, connections closed behind an answer: {closed}")
    if counts.get(b"$", 0) < 500:
        raise CannotRun("too few requests were served")
    site.record(gatekeeper.log())
    return breaks


run_case(FOLDER, play)
