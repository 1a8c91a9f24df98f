"""Picture (a): floods of clients that write slowly, stop half way, send very many short fields, or read long values slowly.
Does the gatekeeper stay under its memory limit, and are other clients served? usage: memory_floods.py KIND MEMORY_MB SOCKETS CLIENTS"""
import sys
import os
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "..", "review", "stand-ins-2"))
from standins import *  # noqa

import logging; logging.disable(logging.CRITICAL)
KINDS, MEMORY, SOCKETS, CLIENTS = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4])
SECONDS = 12
LONG = 4 * 1024 * 1024
FIELDS = "c=notice,t=premium,d=2500,units=1,spread=1,first=0"
sizes = {}


async def behave(server, words, writer):
    await asyncio.sleep(0.05)
    answer = served(value_of(words[2], sizes.get(words[2], 0)))
    if "big-answers" in KINDS and len(answer) > 1000:
        for at in range(0, len(answer), 4_000):
            writer.write(answer[at:at + 4_000])
            await asyncio.sleep(0.1)
        return
    writer.write(answer)
    await writer.drain()


def submit(number, body):
    name = f"{number:016x}"
    return command("SVC.SUBMIT", name, name, FIELDS, body)


def many_fields(number):
    name = f"{number:016x}"
    return command("SVC.QUERY", name, name, "c=lookup,t=premium,d=2500,units=1,spread=1,first=0," + ",".join("a=" for _ in range(20_000)))


async def flood(gatekeeper, number, until, state):
    KIND = KINDS.split(",")[number % len(KINDS.split(","))]
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*gatekeeper.listen), 3)
            state["flood"] += 1
            if KIND == "half":
                writer.write(submit(number, "x" * 64_000)[:63_000])
                await asyncio.wait_for(reader.read(1), 5)
            elif KIND == "big-answers":
                name = f"{number:08x}{state['flood']:08x}"
                sizes[name.encode()] = 64_000
                writer.write(command("SVC.QUERY", f"{number:016x}", name, "c=lookup,t=premium,d=2500,units=1,spread=1,first=0"))
                await asyncio.wait_for(read_reply(reader), 4)
            elif KIND == "idle":
                writer.write(command("PING"))
                await reader.read(10)
                await asyncio.sleep(20)
            elif KIND.startswith("stop"):
                # Writes so many bytes at once, and stops.
                writer.write(submit(number, "x" * 64_000)[:int(KIND[4:])])
                await asyncio.wait_for(reader.read(1), 5)
            elif KIND == "small-half":
                data = submit(number, "x" * 64_000)
                for at in (0, 4_200, 8_400):
                    writer.write(data[at:at + 4_200])
                    await asyncio.sleep(0.15)
                writer.write(data[12_600:16_300])
                await asyncio.wait_for(reader.read(1), 5)
            elif KIND == "small-slow":
                # Stays just below the size from which commands are shed, then completes.
                data = submit(number, "x" * 15_800)
                for at in range(0, len(data), 800):
                    writer.write(data[at:at + 800])
                    await asyncio.sleep(0.1)
                await asyncio.wait_for(reader.read(10), 5)
            elif KIND == "large-slow":
                name = f"{number:016x}"
                data = command("SVC.SUBMIT", name, name, FIELDS + ",a=" + "y" * 60_000, "x" * 64_000)
                step = len(data) // 20
                for at in range(0, len(data), step):
                    writer.write(data[at:at + step])
                    await asyncio.sleep(0.1)
                await asyncio.wait_for(reader.read(10), 5)
            elif KIND == "slow-write":
                data = submit(number, "x" * 64_000)
                step = len(data) // 20
                for at in range(0, len(data), step):
                    writer.write(data[at:at + step])
                    await asyncio.sleep(0.1)
                await asyncio.wait_for(reader.read(10), 5)
            elif KIND == "bytes":
                data = submit(number, "x" * 64_000)
                writer.write(data[:62_000])
                for at in range(62_000, 62_220):
                    writer.write(data[at:at + 1])
                    await asyncio.sleep(0.01)
            elif KIND == "fields":
                for at in range(50):
                    writer.write(many_fields(number * 100 + at))
                    await asyncio.wait_for(reader.read(100), 3)
            elif KIND == "heads":
                # Arrays of 64 short arguments, the last of which stops half way, written in pieces.
                data = command(*["a"] * 64)
                for at in range(0, len(data) - 3, 8):
                    writer.write(data[at:at + 8])
                    await asyncio.sleep(0.03)
                await asyncio.wait_for(reader.read(100), 3)
            elif KIND == "slow-read":
                name = f"{number:08x}{state['flood']:08x}"
                sizes[name.encode()] = LONG
                writer.write(command("SVC.QUERY", f"{number:016x}", name, "c=lookup,t=premium,d=2500,units=1,spread=1,first=0"))
                while time.monotonic() < until and await reader.read(16 * 1024):
                    await asyncio.sleep(0.02)
            elif KIND == "pipeline":
                # 60 requests for values of 60 kB at once, then a pause before reading.
                for at in range(60):
                    name = f"{number:06x}{state['flood']:06x}{at:04x}"
                    sizes[name.encode()] = 60_000
                    writer.write(command("SVC.QUERY", f"{number:016x}", name, "c=lookup,t=premium,d=2500,units=1,spread=1,first=0"))
                await asyncio.sleep(2)
                while await asyncio.wait_for(reader.read(16 * 1024), 1):
                    await asyncio.sleep(0.01)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.05)


async def other(gatekeeper, number, until, state):
    serial = 0
    while time.monotonic() < until:
        serial += 1
        name = f"f{number:07x}{serial:08x}"
        sent = time.monotonic()
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*gatekeeper.listen), 3)
            writer.write(command("SVC.QUERY", f"{0x10000 + number:016x}", name, "c=lookup,t=premium,d=2500,units=1,spread=1,first=0"))
            kind, value = await asyncio.wait_for(read_reply(reader), 4)
            writer.close()
            took = time.monotonic() - sent
            state["kinds"][kind.decode()] = state["kinds"].get(kind.decode(), 0) + 1
            state["late"] += took > 2.55
            state["worst"] = max(state["worst"], took)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            state["lost"] += 1
        await asyncio.sleep(0.1)


def memory(pid, key):
    for line in open(f"/proc/{pid}/status"):
        if line.startswith(key):
            return int(line.split()[1])


async def main():
    record = lambda text: None
    site = type("S", (), {"directory": tempfile.mkdtemp(), "processes": [], "record": staticmethod(record)})()
    servers = [await LoanServer(f"s-{n}", behave, record).start() for n in range(8)]
    agent = await Agent([server.entry() for server in servers]).start()
    counter = await Counter().start()
    classes = [read_class("lookup"), dict(read_class("notice"), effect="non_idempotent")]
    gatekeeper = Gatekeeper(site, "n0", agent, counter, settings(classes, gatekeepers=1), sockets=SOCKETS, memory_mb=MEMORY).start()
    await gatekeeper.ready()
    await asyncio.sleep(1)
    pid = gatekeeper.process.pid
    before = memory(pid, "VmRSS")
    until = time.monotonic() + SECONDS
    state = {"flood": 0, "kinds": {}, "late": 0, "worst": 0.0, "lost": 0}
    tasks = [asyncio.ensure_future(flood(gatekeeper, n, until, state)) for n in range(CLIENTS)]
    tasks += [asyncio.ensure_future(other(gatekeeper, n, until, state)) for n in range(10)]
    await asyncio.sleep(SECONDS)
    alive = gatekeeper.process.poll() is None
    peak = memory(pid, "VmHWM") if alive else -1
    for task in tasks:
        task.cancel()
    print(f"{KINDS} {MEMORY} MB {SOCKETS} sockets {CLIENTS} clients: before {before} kB, peak {peak} kB of {MEMORY * 1024} ({100 * peak / MEMORY / 1024:.0f} %), alive {alive}, {state}")
    gatekeeper.process.kill()
    os._exit(0)

asyncio.run(main())
