"""Picture (b) with the flood, the loan servers and the measuring client in processes of their own. usage: tenant_flood.py D MEMORY SECONDS SAME"""
import sys
import os
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "..", "review", "stand-ins-2"))
import logging; logging.disable(logging.CRITICAL)
from standins import *  # noqa
import multiprocessing

D, MEMORY, SECONDS, SAME = int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), sys.argv[4]


def loan_server(ports):
    async def behave(server, words, writer):
        await asyncio.sleep(0.05)
        writer.write(served(value_of(words[2])))
    async def play():
        servers = [await LoanServer(f"s-{n}", behave, lambda text: None).start() for n in range(2)]
        ports.put([server.port for server in servers])
        await asyncio.sleep(1000)
    asyncio.run(play())


def flood(address, seconds, totals):
    import threading
    until = time.monotonic() + seconds
    sent = answers = 0
    connection = socket.create_connection(address)
    def drain():
        nonlocal answers
        try:
            while data := connection.recv(1 << 16):
                answers += data.count(b"\r\n")
        except OSError:
            pass
    threading.Thread(target=drain, daemon=True).start()
    serial = 0
    try:
        while time.monotonic() < until:
            data = b"".join(command("SVC.QUERY", f"{7 if SAME == 'same' else (serial + n) % (1 << 33):016x}", f"{serial + n:016x}",
                                    f"c=lookup,t=premium,d={D},units=1,spread={2 if SAME == 'shared' else 1},first=0") for n in range(50))
            serial += 50
            connection.sendall(data)
            sent += 50
    except OSError as error:
        totals.put(f"{error}")
    totals.put((sent, answers))


def other(address, seconds, results):
    until = time.monotonic() + seconds
    took, kinds, serial = [], {}, 0
    while time.monotonic() < until:
        serial += 1
        start = time.monotonic()
        connection = socket.create_connection(address)
        connection.settimeout(6)
        connection.sendall(command("SVC.QUERY", f"{0x1f0000000:016x}", f"f{serial:015x}", "c=lookup,t=premium,d=2500,units=1,spread=1,first=0"))
        try:
            kind = connection.recv(100)[:1].decode()
        except OSError:
            kind = "lost"
        connection.close()
        kinds[kind] = kinds.get(kind, 0) + 1
        took.append(time.monotonic() - start)
        time.sleep(0.05)
    results.put((kinds, sorted(took)))


def memory(pid, key):
    for line in open(f"/proc/{pid}/status"):
        if line.startswith(key):
            return int(line.split()[1])


def ticks(pid):
    words = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(words[11]) + int(words[12])) / 100


async def main():
    record = lambda text: None
    site = type("S", (), {"directory": tempfile.mkdtemp(), "processes": [], "record": staticmethod(record)})()
    ports = multiprocessing.Queue()
    children = [multiprocessing.Process(target=loan_server, args=(ports,), daemon=True) for _ in range(4)]
    [child.start() for child in children]
    entries = []
    for n in range(4):
        for port in ports.get():
            server = LoanServer(f"s-{len(entries)}", None, record)
            server.port = port
            entries.append(server.entry())
    agent = await Agent(entries).start()
    counter = await Counter().start()
    gatekeeper = Gatekeeper(site, "n0", agent, counter, settings([read_class("lookup")], gatekeepers=2), sockets=512, memory_mb=MEMORY,
                            operator=True).start()
    await gatekeeper.ready()
    await asyncio.sleep(1)
    pid = gatekeeper.process.pid
    totals, results = multiprocessing.Queue(), multiprocessing.Queue()
    before, cpu = memory(pid, "VmRSS"), ticks(pid)
    work = [multiprocessing.Process(target=flood, args=(gatekeeper.listen, SECONDS, totals), daemon=True),
            multiprocessing.Process(target=other, args=(gatekeeper.listen, SECONDS, results), daemon=True)]
    [child.start() for child in work]
    marks = []
    for _ in range(SECONDS):
        await asyncio.sleep(1)
        marks.append(memory(pid, "VmRSS") // 1024)
    cpu = ticks(pid) - cpu
    kinds, took = await asyncio.get_running_loop().run_in_executor(None, results.get)
    sent = await asyncio.get_running_loop().run_in_executor(None, totals.get)
    after = []
    for _ in range(3):
        await asyncio.sleep(3)
        after.append(memory(pid, "VmRSS") // 1024)
    print(f"d={D} {SAME} {MEMORY} MB: before {before // 1024} MB, then {marks}, after {after}; sent, answered {sent}; cpu {cpu:.1f} s of {SECONDS}; "
          f"others {kinds}, median {took[len(took) // 2]:.3f}, worst {took[-1]:.3f}, over 1 s {sum(t > 1 for t in took)} of {len(took)}")
    gatekeeper.process.kill()
    [child.kill() for child in children + work]
    os._exit(0)

if __name__ == "__main__":
    asyncio.run(main())
