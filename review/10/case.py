"""A planned restart while clients send a command behind another one: does each command on an open connection get its answer?"""
import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-2"))
from standins import *  # noqa: E402,F403

CLIENTS, DEADLINE = 30, 2500
# The second command follows the first one after this time, long before its answer.
BEHIND = 0.04
WORK = (0.08, 0.12)
# A command that is sent this long before the end of its connection, behind one without an answer, does not cross a close between requests.
CROSSING = 0.02
draw = random.Random(59)


async def behave(server, words, writer):
    await asyncio.sleep(draw.uniform(*WORK))
    writer.write(served(value_of(words[2])))


async def client(site, gatekeeper, number, until, breaks, counts):
    reader, writer = await asyncio.open_connection(*gatekeeper.listen)
    rounds = 0
    while time.monotonic() < until:
        names = [f"{number:04x}{rounds:08x}{place}" for place in "ab"]
        rounds += 1
        sent = {}
        first = None
        for name in names:
            if first is not None:
                await asyncio.sleep(BEHIND)
            site.record(f"send {name} on connection {number}")
            writer.write(request(name, DEADLINE, spread=1))
            sent[name] = time.monotonic()
            if first is None:
                first = asyncio.ensure_future(read_reply(reader))
        for name in names:
            try:
                kind, text = await asyncio.wait_for(first if name == names[0] else read_reply(reader), 6)
            except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError) as error:
                ended = time.monotonic()
                site.record(f"no answer {name}: {type(error).__name__}, {ended - sent[name]:.3f} s after the request")
                # The first command of a round may cross a close between requests: the client would send it once more.
                if name == names[1] and ended - sent[name] >= CROSSING:
                    breaks.append(f"request {name}: its connection ended {ended - sent[name]:.3f} s after it was sent, without its answer; "
                                  "the command in front of it was answered")
                return writer.close()
            counts[kind] = counts.get(kind, 0) + 1
            site.record(f"answer {name} {kind.decode()}{text.decode()}, {time.monotonic() - sent[name]:.3f} s after the request")
        await asyncio.sleep(draw.uniform(0.0, 0.05))
    writer.close()


async def play(site):
    servers = [await LoanServer(f"s-{n}", behave, site.record).start() for n in range(12)]
    agent = await Agent([server.entry() for server in servers]).start()
    counter = await Counter().start()
    gatekeeper = Gatekeeper(site, "n0", agent, counter, settings([read_class(deadline_ms=DEADLINE)], gatekeepers=1)).start()
    await gatekeeper.ready()
    await asyncio.sleep(1)
    breaks, counts = [], {}
    until = time.monotonic() + 6
    clients = [asyncio.ensure_future(client(site, gatekeeper, n, until, breaks, counts)) for n in range(CLIENTS)]
    await asyncio.sleep(1.5)
    if TROUBLE:
        gatekeeper.signal(signal.SIGTERM)
        # SIGKILL comes after the longest deadline and 0.7 s more.
        await asyncio.wait(clients, timeout=DEADLINE / 1000 + 0.7)
        if gatekeeper.process.poll() is None:
            gatekeeper.signal(signal.SIGKILL)
        else:
            site.record(f"the gatekeeper had ended with {gatekeeper.process.returncode}")
    await asyncio.gather(*clients)
    site.record.say(f"answers by kind: {counts}")
    if counts.get(b"$", 0) < 100:
        raise CannotRun("too few requests were served")
    site.record(gatekeeper.log())
    return breaks


run_case(FOLDER, play)
