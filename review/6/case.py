"""Good answers with a second copy some milliseconds behind: does each client get the value made for its own request?"""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-2"))
from standins import *  # noqa: E402,F403

SERVERS, CLIENTS, SECONDS = 12, 28, 40
SOCKETS, MEMORY = 256, 96
# One in twenty answers is followed by a second copy, this many seconds later.
SHARE, LATE = 0.05, (0.004, 0.010)
# One way between a gatekeeper and a loan server in another hall takes 0.7 to 1.3 ms.
WAY = 0.001
# The work of a request.
WORK = (0.096, 0.170)
draw = random.Random(59)
copies = 0


async def behave(server, words, writer):
    """Answers a request. Its bytes, and those of the answer, take WAY between the machines."""
    loop = asyncio.get_running_loop()
    answer = served(value_of(words[2]))
    await asyncio.sleep(WAY)
    writer.busy = True
    await asyncio.sleep(draw.uniform(*WORK))
    writer.busy = False
    if TROUBLE and draw.random() < SHARE:
        loop.call_later(draw.uniform(*LATE), second_copy, server, words[2], writer, answer)
    await asyncio.sleep(WAY)
    writer.write(answer)


def second_copy(server, request_id, writer, answer):
    """Sends the second copy, but only when nothing else waits on the connection at the loan server."""
    global copies
    if not writer.busy and not writer.is_closing():
        copies += 1
        server.record(f"second copy of {request_id.decode()} from {server.uid}")
        asyncio.get_running_loop().call_later(WAY, writer.write, answer)


async def client(site, gatekeeper, number, until, breaks, counts):
    reader, writer = await asyncio.open_connection(*gatekeeper.listen)
    serial = 0
    while time.monotonic() < until:
        request_id = f"{number:08x}{serial:08x}"
        serial += 1
        tenant = 0x1000 + draw.randrange(40)
        site.record(f"send {request_id}")
        writer.write(request(request_id, 2500, cls="rate-lookup", tenant=tenant, spread=1))
        kind, text = await asyncio.wait_for(read_reply(reader), 10)
        counts[kind] = counts.get(kind, 0) + 1
        site.record(f"answer {request_id} {kind.decode()}{text[:60].decode(errors='replace')}")
        if kind == b"$" and text != value_of(request_id.encode()):
            breaks.append(f"request {request_id} was served with {text[:60]!r}")
        await asyncio.sleep(draw.expovariate(1 / 0.065))
    writer.close()


async def play(site):
    servers = [await LoanServer(f"s-{n}", behave, site.record).start() for n in range(SERVERS)]
    agent = await Agent([server.entry() for server in servers]).start()
    counter = await Counter().start()
    gatekeeper = Gatekeeper(site, "n0", agent, counter, settings([read_class("rate-lookup", 3000, 1200)], gatekeepers=1), sockets=SOCKETS,
                            memory_mb=MEMORY).start()
    await gatekeeper.ready()
    await asyncio.sleep(1)
    breaks, counts = [], {}
    until = time.monotonic() + SECONDS
    await asyncio.gather(*(client(site, gatekeeper, n, until, breaks, counts) for n in range(CLIENTS)))
    site.record.say(f"answers by kind: {counts}, second copies: {copies}, connections: {sum(s.connections for s in servers)}")
    if counts.get(b"$", 0) < 1000 or TROUBLE and copies < 20:
        raise CannotRun("too few requests were served, or too few second copies were sent")
    return breaks


run_case(FOLDER, play)
