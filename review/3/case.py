"""A crowd of clients connects and stops half way through a command, while others ask on new connections."""

import asyncio
import itertools
import os
import socket

import common
from common import BROKEN, HELD, NOT_RUN
from site_resp import Agent, Gatekeeper, LoanServer, connect, query, read_answer, served, target

SERVERS = 8
CROWD = 1500
DEADLINE_MS = 1500
# A final answer may come half a second after the client's deadline; every time limit is 50 ms longer on sockets.
LAST_ANSWER_S = DEADLINE_MS / 1000 + 0.5 + 0.05
ASK_EVERY_S = 0.02
HALF_A_COMMAND = b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000"
# The stand-ins share a loop; if it was late by more, the times of the record would not be the gatekeeper's.
LONGEST_LAG_S = 0.4


def listen_overflows():
    """Connections that the system turned away since its start, because a listener's queue was full."""
    with open("/proc/net/netstat") as file:
        names, values = [line.split() for line in file if line.startswith("TcpExt:")]
    return int(values[names.index("ListenOverflows")])


async def main(case):
    loop = asyncio.get_running_loop()

    async def answer(server, words, writer):
        await asyncio.sleep(0.02)
        writer.write(served(b"balance for " + words[2]))
        case.record("run", server=server.name, id=words[2].decode())

    servers = [await LoanServer(f"s-{number}", answer).start() for number in range(SERVERS)]
    agent = await Agent([target(server) for server in servers]).start()
    gatekeeper = Gatekeeper(case, agent, sockets=1024, memory_mb=192)
    await gatekeeper.ready()
    numbers = itertools.count(1)
    counts = {"served": 0, "refused": 0, "failed": 0, "closed unread": 0, "not connected": 0, "never": 0}
    late, crowd, asking, lag = [], [], [], 0.0
    overflows = listen_overflows()

    async def watch_lag():
        nonlocal lag
        while True:
            before = loop.time()
            await asyncio.sleep(0.01)
            lag = max(lag, loop.time() - before - 0.01)

    async def ask():
        """A lookup on a new connection."""
        number = next(numbers)
        name = f"{number:016x}"
        try:
            reader, writer = await asyncio.wait_for(connect(gatekeeper.port), 3)
        except (OSError, asyncio.TimeoutError):
            # The gatekeeper's machine has not accepted the connection, so nothing was taken.
            counts["not connected"] += 1
            return
        writer.write(query(number, DEADLINE_MS))
        sent = loop.time()
        case.record("sent", id=name)
        try:
            kind, value = await asyncio.wait_for(read_answer(reader), 12)
        except asyncio.TimeoutError:
            kind, value = "never", ""
        took = loop.time() - sent
        if kind == "lost":
            # New connections may be shut unread while a crowd fills the descriptors. The client would ask again.
            kind = "closed unread"
        counts[kind] += 1
        text = value if isinstance(value, str) else value.decode()
        case.record("answered", id=name, kind=kind.replace(" ", "_"), after=f"{took:.3f}", value=text.replace(" ", "_"))
        if kind != "closed unread" and took > LAST_ANSWER_S:
            late.append((name, kind, round(took, 2)))
        writer.close()

    async def stop_half_way():
        client = socket.socket()
        client.setblocking(False)
        try:
            await asyncio.wait_for(loop.sock_connect(client, ("127.0.0.1", gatekeeper.port)), 4)
            await loop.sock_sendall(client, HALF_A_COMMAND)
        except (OSError, asyncio.TimeoutError):
            client.close()
            return
        crowd.append(client)  # it stays until the gatekeeper closes it

    async def flow():
        while True:
            asking.append(asyncio.create_task(ask()))
            await asyncio.sleep(ASK_EVERY_S)

    background = [asyncio.create_task(flow()), asyncio.create_task(watch_lag())]
    await asyncio.sleep(1)
    if common.trouble():
        case.record("the crowd comes", clients=CROWD)
        comers = []
        for _ in range(CROWD // 100):
            comers += [asyncio.create_task(stop_half_way()) for _ in range(100)]
            await asyncio.sleep(0.01)
    await asyncio.sleep(7)
    background[0].cancel()
    await asyncio.wait(asking, timeout=13)
    case.record("answers", **{kind.replace(" ", "_"): count for kind, count in counts.items()}, late=len(late),
                crowd=len(crowd), lag=f"{lag:.3f}", overflows=listen_overflows() - overflows)
    if gatekeeper.has_ended():
        return BROKEN, "the gatekeeper ended by itself"
    if lag > LONGEST_LAG_S or counts["served"] < 20 or (common.trouble() and len(crowd) < CROWD // 2):
        return NOT_RUN, f"the stand-ins were too slow: lag {lag:.3f} s, {counts}, crowd {len(crowd)}"
    if late:
        longest = max(took for _, _, took in late)
        return BROKEN, (f"{len(late)} of {len(asking)} lookups with d={DEADLINE_MS} were lost: their final answers came "
                        f"after {LAST_ANSWER_S:.2f} s, up to {longest} s after they were sent; {counts}")
    return HELD, f"all of {len(asking)} lookups had their final answers in time: {counts}"


common.run_async(os.path.dirname(os.path.abspath(__file__)), main)
