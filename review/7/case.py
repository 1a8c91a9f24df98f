"""Clients that take seconds to read a long value, and clients that send a command behind another one: does each get its value to the end?

The values of the first part are a little longer than what the system's socket buffers take, which a first request measures. The end of
such a value waits in the gatekeeper until its client has read a part. The values of the second part are a little over 64 KiB, and wait
in the gatekeeper until the command in front is answered."""
import asyncio
import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-2"))
from standins import *  # noqa: E402,F403

LONGEST = 4 * 1024 * 1024
RECEIVE_BUFFER, PIECE = 16 * 1024, 16 * 1024
# A slow client reads the first piece at once and the rest from 1.6 s to 3.2 s after the request.
PAUSE, READING = 1.6, 3.2
# The rest of a value may be held back for 2 s; every limit is 50 ms longer on sockets. Nothing comes for this long: held back.
HELD_BACK = 6.0
CLIENTS, STEP = 20, 8 * 1024
# The second part: this many clients, with values from 66 KiB on.
PIPELINING, SHORTEST, LONGER = 8, 66 * 1024, 1024
sizes = {}


async def behave(server, words, writer):
    await asyncio.sleep(0.08 if sizes[words[2]] == 0 else 0.03)
    writer.write(served(value_of(words[2], sizes[words[2]])))
    await writer.drain()


async def send(site, gatekeeper, request_id):
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    connection.setblocking(False)
    await loop.sock_connect(connection, gatekeeper.listen)
    await loop.sock_sendall(connection, request(request_id, 3000, spread=1))
    site.record(f"send {request_id}, value of {sizes[request_id.encode()]} bytes")
    return connection


async def read(site, connection, request_id, breaks, slowly):
    loop = asyncio.get_running_loop()
    sent = time.monotonic()
    expected = bulk(value_of(request_id.encode(), sizes[request_id.encode()]))
    received, end = bytearray(), "complete"
    while len(received) < len(expected):
        try:
            piece = await asyncio.wait_for(loop.sock_recv(connection, PIECE), HELD_BACK)
        except asyncio.TimeoutError:
            end = f"nothing for {HELD_BACK} s"
            break
        except OSError as error:
            end = f"{type(error).__name__} {error}"
            break
        if not piece:
            end = "end of stream"
            break
        received += piece
        if slowly:
            due = sent + PAUSE + (READING - PAUSE) * len(received) / len(expected)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
    took = time.monotonic() - sent
    site.record(f"answer {request_id}: {len(received)} of {len(expected)} bytes, then {end}, {took:.3f} s after the request")
    connection.close()
    if bytes(received) != expected:
        breaks.append(f"request {request_id}: {len(received)} of {len(expected)} bytes, then {end}, {took:.2f} s after the request")


def bytes_in_system(connection):
    """Bytes that the system holds between the gatekeeper and this client, in both socket buffers."""
    ours, theirs = connection.getsockname()[1], connection.getpeername()[1]
    held = 0
    with open("/proc/net/tcp") as table:
        for line in table.readlines()[1:]:
            words = line.split()
            ports = tuple(int(address.split(":")[1], 16) for address in words[1:3])
            sending, receiving = (int(text, 16) for text in words[4].split(":"))
            if ports == (theirs, ours):
                held += sending
            elif ports == (ours, theirs):
                held += receiving
    return held


async def slow_readers(site, gatekeeper, breaks):
    sizes[b"measure"] = LONGEST
    connection = await send(site, gatekeeper, "measure")
    await asyncio.sleep(0.7)
    held = bytes_in_system(connection)
    site.record.say(f"the system holds {held} bytes")
    await read(site, connection, "measure", [], False)
    if held + CLIENTS * STEP > LONGEST:
        return site.record.say("the system takes the longest value at once: no slow readers")
    names = [f"slow{n:04x}" for n in range(CLIENTS)]
    sizes.update({name.encode(): held + n * STEP for n, name in enumerate(names)})
    readers = []
    for name in names:
        connection = await send(site, gatekeeper, name)
        readers.append(asyncio.ensure_future(read(site, connection, name, breaks, TROUBLE)))
        await asyncio.sleep(0.15)
    await asyncio.gather(*readers)


async def pipelining(site, gatekeeper, number, breaks):
    reader, writer = await asyncio.open_connection(*gatekeeper.listen, limit=LONGEST)
    names = [f"front{number:04x}", f"behind{number:04x}"]
    sizes.update({names[0].encode(): 0, names[1].encode(): SHORTEST + number * LONGER})
    if TROUBLE:
        writer.write(b"".join(request(name, 3000, spread=1) for name in names))
    for name in names:
        if not TROUBLE:
            writer.write(request(name, 3000, spread=1))
        site.record(f"send {name}, value of {sizes[name.encode()]} bytes")
        sent = time.monotonic()
        try:
            _, value = await asyncio.wait_for(read_reply(reader), 3 + HELD_BACK)
            end = "whole" if value == value_of(name.encode(), sizes[name.encode()]) else f"{value[:60]!r}"
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError) as error:
            end = f"{type(error).__name__} after {len(reader._buffer)} bytes"
        site.record(f"answer {name}: {end}, {time.monotonic() - sent:.3f} s after the request")
        if end != "whole":
            breaks.append(f"request {name}, value of {sizes[name.encode()]} bytes: {end}")
            break
    writer.close()


async def play(site):
    servers = [await LoanServer(f"s-{n}", behave, site.record).start() for n in range(4)]
    agent = await Agent([server.entry() for server in servers]).start()
    counter = await Counter().start()
    gatekeeper = Gatekeeper(site, "n0", agent, counter, settings([read_class(deadline_ms=3000)], gatekeepers=1), sockets=512,
                            memory_mb=96).start()
    await gatekeeper.ready()
    await asyncio.sleep(1.2)
    breaks = []
    await slow_readers(site, gatekeeper, breaks)
    await asyncio.gather(*(pipelining(site, gatekeeper, number, breaks) for number in range(PIPELINING)))
    if sum(len(server.runs) for server in servers) < 2 * PIPELINING:
        raise CannotRun("not all requests reached a loan server")
    site.record(gatekeeper.log())
    return breaks


run_case(FOLDER, play)
