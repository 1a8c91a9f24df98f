"""Picture (b): one client sends small or unsound commands at full speed on one connection for some seconds, also under ever new
names. Do other clients get their answers in time, and is the memory bounded? usage: one_connection_floods.py KIND MEMORY_MB"""
import sys, threading
import os
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "..", "review", "stand-ins-2"))
from standins import *  # noqa

KIND, MEMORY = sys.argv[1], int(sys.argv[2])
SECONDS = 8


async def behave(server, words, writer):
    await asyncio.sleep(0.05)
    writer.write(served(value_of(words[2])))


def flood(address, until, state):
    """A thread: full speed, with a second thread that reads what comes, unless KIND says that nothing is read."""
    serial = 0
    while time.monotonic() < until:
        try:
            connection = socket.create_connection(address)
            connection.settimeout(2)
            if "unread" not in KIND:
                def drain():
                    try:
                        while connection.recv(65536):
                            pass
                    except OSError:
                        pass
                threading.Thread(target=drain, daemon=True).start()
            while time.monotonic() < until:
                if KIND.startswith("ping"):
                    data = command("PING") * 2000
                elif KIND.startswith("unknown"):
                    data = b"".join(command(f"GET{serial + n}", "x") for n in range(500))
                elif KIND.startswith("badrequest"):
                    data = b"".join(command("SVC.QUERY", f"{serial + n:016x}", f"{serial + n:016x}", "c=nothing,d=1") for n in range(500))
                elif KIND.startswith("malformed"):
                    data = b"*1\r\n$x\r\n"
                elif KIND.startswith("tenants"):
                    # A request of a new tenant each, with a new id: valid, but more than any quota serves.
                    data = b"".join(command("SVC.QUERY", f"{(serial + n) % (1 << 33):016x}", f"{serial + n:016x}",
                                            "c=lookup,t=premium,d=1,units=1,spread=1,first=0") for n in range(200))
                elif KIND.startswith("same"):
                    data = b"".join(command("SVC.QUERY", f"{7:016x}", f"{serial + n:016x}",
                                            "c=lookup,t=premium,d=2500,units=1,spread=1,first=0") for n in range(200))
                serial += 500
                connection.sendall(data)
                state["flood"] += len(data)
        except OSError:
            state["closed"] += 1


async def other(gatekeeper, number, until, state):
    serial = 0
    while time.monotonic() < until:
        serial += 1
        name = f"f{number:07x}{serial:08x}"
        sent = time.monotonic()
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*gatekeeper.listen), 3)
            writer.write(command("SVC.QUERY", f"{0x1f0000000 + number:016x}", name, "c=lookup,t=premium,d=2500,units=1,spread=1,first=0"))
            kind, value = await asyncio.wait_for(read_reply(reader), 4)
            writer.close()
            took = time.monotonic() - sent
            state["kinds"][kind.decode()] = state["kinds"].get(kind.decode(), 0) + 1
            if kind == b"-":
                state["errors"].add(value)
            state["took"].append(took)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            state["lost"] += 1
        await asyncio.sleep(0.05)


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
    classes = [read_class("lookup")]
    gatekeeper = Gatekeeper(site, "n0", agent, counter, settings(classes, gatekeepers=1), sockets=512, memory_mb=MEMORY).start()
    await gatekeeper.ready()
    await asyncio.sleep(1)
    pid = gatekeeper.process.pid
    before = memory(pid, "VmRSS")
    until = time.monotonic() + SECONDS
    state = {"flood": 0, "closed": 0, "kinds": {}, "took": [], "lost": 0, "errors": set()}
    threading.Thread(target=flood, args=(gatekeeper.listen, until, state), daemon=True).start()
    tasks = [asyncio.ensure_future(other(gatekeeper, n, until, state)) for n in range(10)]
    marks = []
    for _ in range(4):
        await asyncio.sleep(SECONDS / 4)
        marks.append(memory(pid, "VmRSS") if gatekeeper.process.poll() is None else -1)
    took = sorted(state.pop("took"))
    await asyncio.sleep(4)
    for task in tasks:
        task.cancel()
    print(f"{KIND} {MEMORY} MB: before {before} kB, then {marks}, {state}; others' answers median {took[len(took) // 2]:.3f} worst {took[-1]:.3f} s, over 1 s: {sum(t > 1 for t in took)} of {len(took)}")
    gatekeeper.process.kill()
    os._exit(0)

asyncio.run(main())
