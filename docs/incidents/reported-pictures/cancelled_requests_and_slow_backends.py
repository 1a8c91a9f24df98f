"""Pictures (c) and (d) on the platform's front. usage: cancelled_requests_and_slow_backends.py"""
import sys
import os
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "..", "review", "stand-ins-2"))
import logging; logging.disable(logging.CRITICAL)
from standins import *  # noqa
FIELDS = "c=notice,t=premium,d=2500,units=1,spread=1,first=0"
mode = {}

async def behave(server, words, writer):
    name = words[2].decode()
    how = mode.get(name, mode.get(name[:2]))
    if how == "hang":
        await asyncio.sleep(3)
        return
    if how and how[0] == "slow":
        _, size, pieces, pause = how
        answer = served(value_of(words[2], size))
        step = len(answer) // pieces + 1
        for at in range(0, len(answer), step):
            writer.write(answer[at:at + step])
            await writer.drain()
            await asyncio.sleep(pause)
        return
    await asyncio.sleep(0.05)
    writer.write(served(value_of(words[2], 60_000 if how == "big" else 0)))

def submit(name, body="x"):
    return command("SVC.SUBMIT", f"{int(name[-6:], 16):016x}", name, FIELDS, body)

async def main():
    record = lambda text: None
    site = type("S", (), {"directory": tempfile.mkdtemp(), "processes": [], "record": staticmethod(record)})()
    servers = [await LoanServer(f"s-{n}", behave, record).start() for n in range(8)]
    runs = lambda name: [at for server in servers for at, run in server.runs if run.startswith(name)]
    agent = await Agent([server.entry() for server in servers]).start()
    counter = await Counter().start()
    classes = [read_class("lookup"), dict(read_class("notice"), effect="non_idempotent")]
    gatekeeper = Gatekeeper(site, "n0", agent, counter, settings(classes, gatekeepers=1), sockets=512, memory_mb=96).start()
    await gatekeeper.ready(); await asyncio.sleep(1)
    # c1: the same id again after its client has left.
    mode["c1"] = "hang"
    for _ in range(2):
        reader, writer = await asyncio.open_connection(*gatekeeper.listen)
        writer.write(submit("c1000001")); await asyncio.sleep(0.3); writer.close(); await asyncio.sleep(0.2)
    print("c1: the same id of an unsafe class, sent again 0.2 s after its client left, ran", len(runs("c1")), "times")
    # c2: 1,500 requests on one connection, closed while they are written.
    for close in ("FIN", "RST"):
        late = 0
        for turn in range(5):
            prefix = f"c2{close[0]}{turn}"
            connection = socket.create_connection(gatekeeper.listen)
            if close == "RST":
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            connection.setblocking(False)
            data = b"".join(submit(f"{prefix}{n:06x}") for n in range(1500))
            end = time.monotonic() + 0.3
            while data and time.monotonic() < end:
                try:
                    data = data[connection.send(data):]
                except BlockingIOError:
                    await asyncio.sleep(0.001)
            closed = time.monotonic(); connection.close()
            await asyncio.sleep(1)
            late += sum(at > closed + 0.1 for at in runs(prefix))
        print(f"c2: {close} behind 1,500 requests, runs begun over 0.1 s later: {late}")
    # c3: values unread when the client closes.
    late = 0
    for turn in range(5):
        prefix = f"d{turn}"
        mode[prefix] = "big"
        connection = socket.socket(); connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096); connection.connect(gatekeeper.listen)
        connection.sendall(b"".join(submit(f"{prefix}{n:06x}") for n in range(60)))
        await asyncio.sleep(0.3)
        connection.setblocking(False)
        try:
            connection.send(b"".join(submit(f"{prefix}{n:06x}") for n in range(100, 160)))
        except OSError:
            pass
        closed = time.monotonic(); connection.close()
        await asyncio.sleep(1)
        late += sum(at > closed + 0.1 for at in runs(prefix))
    print("c3: close with values unread, runs begun over 0.1 s later:", late)
    # d1: long values written slowly, with a deadline of 2.5 s.
    async def value(name, size, verb="SVC.QUERY"):
        reader, writer = await asyncio.open_connection(*gatekeeper.listen, limit=8 << 20)
        start = time.monotonic()
        writer.write(command("SVC.QUERY", f"{int(name[-6:], 16):016x}", name, "c=lookup,t=premium,d=2500,units=1,spread=1,first=0"))
        try:
            kind, got = await asyncio.wait_for(read_reply(reader), 40)
            result = "whole" if got == value_of(name.encode(), size) else f"{kind} {got[:40]}"
        except (asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            result = f"cut: {type(error).__name__} {len(getattr(error, 'partial', b''))} of {size}"
        return f"{result} after {time.monotonic() - start:.1f} s"
    mode["e0"], mode["e1"], mode["e2"], mode["e3"] = ("slow", 1 << 20, 60, 0.2), ("slow", 200_000, 3, 6), ("slow", 200_000, 2, 13), ("slow", 60_000, 20, 0.2)
    names = [("e0000001", 1 << 20), ("e1000001", 200_000), ("e2000001", 200_000), ("e3000001", 60_000)]
    for name, result in zip(names, await asyncio.gather(*(value(*name) for name in names))):
        print("d1:", mode[name[0][:2]], result)
    # d2: loan servers that read a large request slowly.
    async def deaf(reader, writer):
        await asyncio.sleep(20)
    for server in servers:
        server.server.close()
    deaf_server = socket.socket(); deaf_server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048); deaf_server.bind(("127.0.0.1", 0)); deaf_server.listen(100)
    port = deaf_server.getsockname()[1]
    agent.change([dict(server.entry(), state="removed") for server in servers])
    agent.change([dict(servers[0].entry(), uid="deaf", endpoint=f"127.0.0.1:{port}")])
    await asyncio.sleep(0.5)
    for body in (60_000, 65_000):
        worst = 0
        results = set()
        for n in range(3):
            reader, writer = await asyncio.open_connection(*gatekeeper.listen)
            start = time.monotonic()
            name = f"f0{body % 997:03x}{n:03x}"
            writer.write(command("SVC.SUBMIT", f"{n + body:016x}", name, FIELDS + ",a=" + "y" * 60_000, "x" * body))
            try:
                results.add(str(await asyncio.wait_for(read_reply(reader), 12)))
            except (asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                results.add(type(error).__name__)
            worst = max(worst, time.monotonic() - start)
        print(f"d2: body of {body} at a server that does not read: {results}, worst {worst:.2f} s of 2.5")
    gatekeeper.process.kill(); os._exit(0)

asyncio.run(main())
