"""A planned restart while some values take seconds: is each request that comes after the SIGTERM and is taken answered to its end?"""
import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-2"))
from standins import *  # noqa: E402,F403

DEADLINE = 2500
# SIGKILL comes after the longest deadline and 0.7 s more.
TO_KILL = DEADLINE / 1000 + 0.7
# Only requests that come later than this after SIGTERM count; 50 ms more on sockets.
COUNTED = 0.7 + 0.05
CLIENTS = 20
# One value in five is long, and its loan server takes this time to write it in pieces of 32 KiB.
LONG, SIZE, WRITING, PIECE = 0.2, 1024 * 1024, 2.5, 32 * 1024
draw = random.Random(59)
long_ones = set()


async def behave(server, words, writer):
    await asyncio.sleep(draw.uniform(0.048, 0.088))
    if words[2] not in long_ones:
        return writer.write(served(value_of(words[2])))
    answer = served(value_of(words[2], SIZE))
    for start in range(0, len(answer), PIECE):
        writer.write(answer[start:start + PIECE])
        await writer.drain()
        await asyncio.sleep(WRITING * PIECE / len(answer))


async def client(site, gatekeeper, number, state, breaks, counts):
    reader, writer = await asyncio.open_connection(*gatekeeper.listen, limit=2 * SIZE)
    serial = 0
    while time.monotonic() < state["until"]:
        request_id = f"{number:04x}{serial:08x}"
        serial += 1
        if draw.random() < LONG:
            long_ones.add(request_id.encode())
        size = SIZE if request_id.encode() in long_ones else 0
        site.record(f"send {request_id}{', a long value' if size else ''}")
        sent = time.monotonic()
        writer.write(request(request_id, DEADLINE, spread=1))
        try:
            kind, value = await asyncio.wait_for(read_reply(reader), 12)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError) as error:
            after = sent - state["sigterm"]
            got = len(getattr(error, "partial", b""))
            ended = time.monotonic()
            site.record(f"no answer {request_id}: {type(error).__name__} with {got} bytes, sent {after:.3f} s after SIGTERM, "
                        f"ended {ended - state['sigterm']:.3f} s after it")
            # A close within 20 ms of the request crosses it; the client would send it once more.
            if after > COUNTED and ended - sent > 0.02:
                breaks.append(f"request {request_id}, sent {after:.2f} s after SIGTERM, was taken and has {got} bytes of its answer when its "
                              f"connection ends, {ended - state['sigterm']:.2f} s after SIGTERM")
            break
        counts[kind] = counts.get(kind, 0) + 1
        site.record(f"answer {request_id} {kind.decode()}, {len(value)} bytes, {time.monotonic() - sent:.3f} s after the request")
        if kind == b"$" and value != value_of(request_id.encode(), size):
            breaks.append(f"request {request_id}: a wrong value")
        await asyncio.sleep(draw.uniform(0.0, 0.3))
    writer.close()


async def play(site):
    servers = [await LoanServer(f"s-{n}", behave, site.record).start() for n in range(12)]
    agent = await Agent([server.entry() for server in servers]).start()
    counter = await Counter().start()
    gatekeeper = Gatekeeper(site, "n0", agent, counter, settings([read_class(deadline_ms=DEADLINE)], gatekeepers=1)).start()
    await gatekeeper.ready()
    await asyncio.sleep(1)
    breaks, counts = [], {}
    state = {"sigterm": time.monotonic() + 1000, "until": time.monotonic() + 6}
    # Until the SIGTERM all values are short: no long one is under way when it comes.
    global LONG
    share, LONG = LONG, 0.0
    clients = [asyncio.ensure_future(client(site, gatekeeper, n, state, breaks, counts)) for n in range(CLIENTS)]
    await asyncio.sleep(1)
    if TROUBLE:
        state["sigterm"] = time.monotonic()
        gatekeeper.signal(signal.SIGTERM)
    await asyncio.sleep(COUNTED)
    LONG = share
    if TROUBLE:
        await asyncio.sleep(TO_KILL - COUNTED)
        if gatekeeper.process.poll() is None:
            gatekeeper.signal(signal.SIGKILL)
        else:
            site.record(f"the gatekeeper had ended with {gatekeeper.process.returncode}")
    await asyncio.gather(*clients)
    site.record.say(f"answers by kind: {counts}, long values asked: {len(long_ones)}")
    if counts.get(b"$", 0) < 100 or not long_ones:
        raise CannotRun("too few requests were served, or no long value was asked")
    site.record(gatekeeper.log())
    return breaks


run_case(FOLDER, play)
