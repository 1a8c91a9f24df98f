"""A planned restart while loan servers give long values in pieces."""

import asyncio
import os
import signal

import common
from common import BROKEN, HELD, NOT_RUN
from site_resp import Agent, Gatekeeper, LoanServer, connect, query, read_answer, served, target

SERVERS = 4
# The page allows SIGKILL from the longest deadline (2.5 s here; counted as 3 s where it is longer) and 0.7 s on.
KILL_AFTER_S = 3.7
ASKED_AFTER_S = 1.5
LONG_BYTES = 512 * 1024
PIECES = 30
SECONDS_LONG = 3.0


def kill(case, program):
    if program.poll() is None:
        case.record("SIGKILL")
        program.kill()
    else:
        case.record("had ended", code=program.returncode)


async def main(case):
    async def answer(server, words, writer):
        name = words[2].decode()
        case.record("run", server=server.name, id=name)
        if int(name, 16) < 1000:  # a short value
            writer.write(served(b"balance for " + words[2]))
            return
        whole = served((b"schedule for " + words[2]).ljust(LONG_BYTES, b"."))
        size = -(-len(whole) // PIECES)
        for start in range(0, len(whole), size):
            writer.write(whole[start:start + size])
            await asyncio.sleep(SECONDS_LONG / PIECES)
        case.record("given", server=server.name, id=name, bytes=len(whole))

    servers = [await LoanServer(f"s-{number}", answer).start() for number in range(SERVERS)]
    agent = await Agent([target(server) for server in servers]).start()
    gatekeeper = Gatekeeper(case, agent)
    await gatekeeper.ready()
    loop = asyncio.get_running_loop()
    answers = {}

    async def ask(number, reader, writer):
        """Sends a lookup and reads its answer."""
        name = f"{number:016x}"
        case.record("sent", id=name)
        try:
            writer.write(query(number))
        except ConnectionError:
            pass
        kind, value = await read_answer(reader)
        text = f"{len(value)} bytes" if kind == "served" else value
        case.record("answered", id=name, kind=kind, value=text.replace(" ", "_"))
        answers[number] = kind, text

    # A few clients, each with a connection that it keeps.
    clients = [await connect(gatekeeper.port) for _ in range(4)]
    for number, client in enumerate(clients, 1):
        await ask(number, *client)
    if any(kind != "served" for kind, _ in answers.values()):
        return NOT_RUN, f"the first lookups were not served: {answers}"

    if common.trouble():
        case.record("SIGTERM")
        gatekeeper.program.send_signal(signal.SIGTERM)
        loop.call_later(KILL_AFTER_S, kill, case, gatekeeper.program)
    await asyncio.sleep(ASKED_AFTER_S)
    asked = []
    for number, (reader, writer) in enumerate(clients, 1001):
        if reader.at_eof():
            case.record("closed before", id=f"{number:016x}")
            continue
        asked.append(number)
    await asyncio.gather(*(ask(number, *clients[number - 1001]) for number in asked))
    await asyncio.sleep(0.2)
    lost = {number: answers[number][1] for number in asked if answers[number][0] == "lost"}
    if lost:
        return BROKEN, f"{len(lost)} of {len(asked)} lookups were lost: {lost}"
    return HELD, f"all of {len(asked)} lookups on open connections were answered: { {n: answers[n] for n in asked} }"


common.run_async(os.path.dirname(os.path.abspath(__file__)), main)
