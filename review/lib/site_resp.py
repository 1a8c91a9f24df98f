"""Stand-ins of the platform: a discovery agent, loan servers and clients, over RESP2 and HTTP on loopback. They follow
the protocol page. All of them run on one event loop."""

import asyncio
import json
import os
import socket

import common


def command(*words):
    parts = [f"*{len(words)}\r\n".encode()]
    for word in words:
        word = word if isinstance(word, bytes) else word.encode()
        parts.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(parts)


def bulk(value):
    return b"$%d\r\n%s\r\n" % (len(value), value)


def served(value):
    """A loan server's answer: the value, no figures on use, no load report."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n"


async def read_command(reader):
    """The next command, as a list of words; None at the end of the connection."""
    head = await reader.readline()
    if not head:
        return None
    words = []
    for _ in range(int(head[1:])):
        length = int((await reader.readline())[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


def values_of(words):
    return dict(item.split("=", 1) for item in words[3].decode().split(",") if "=" in item)


class LoanServer:
    """A loan server. `answer(server, words, writer, number)` is awaited for each command, in order on a connection."""

    def __init__(self, name, answer):
        self.name, self.answer = name, answer
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.connections += 1
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                words = await read_command(reader)
                if words is None:
                    break
                await self.answer(self, words, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            writer.close()


class Agent:
    """The discovery agent: the whole list at once, then an empty line each second on an open watch."""

    def __init__(self, targets):
        self.revision, self.targets = 41, targets

    def list(self):
        return {"rev": self.revision, "all": True, "targets": self.targets}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            line = json.dumps(self.list()).encode() + b"\n"
            if "stream=1" not in request:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(line), line))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                line = b"\n"
                await asyncio.sleep(1)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def target(server):
    return {"uid": server.name, "endpoint": f"127.0.0.1:{server.port}", "az": "muscat-dc1", "model": "std-2core",
            "pod_group": 0, "state": "up", "capacity_hint": 1.0, "boot_ms": 0}


def settings(**changes):
    """Settings of a small deployment, with the names and figures of the wire page's example."""
    result = {
        "balancers": 1, "me": 0, "tick-us": 4000, "zone": 0, "layer": 0,
        "localities": ["muscat-dc1"], "kinds": ["std-2core"], "tiers": ["loan-servers"],
        "family": "gate", "discovery": "push", "weights": "off",
        "bounds": {"cancel": True, "connect-timeout-us": 250000, "keepalive-us": 30000000, "max-attempts": 6,
                   "max-retry-after-us": 1000000, "retry-after": True, "second-copies": True, "probing": False,
                   "may-tell": False, "streams-per-conn": 100, "open-cap": 27699},
        "classes": [{"name": "loan-lookup", "effect": "read_like", "group": "all", "deadline-us": 2500000,
                     "goal-time-us": 600000, "key-ttl-us": 5000000, "late-worth": 0.0, "streaming": False,
                     "worth": 1.0}],
        "clients": {"marks-retry": False},
        "contract": {"answer-slack-us": 16000, "ask-every-us": 10000000, "cold-share": 0.16, "cold-us": 17000000,
                     "drain-grace-us": 1000000, "fall-us": 1500000, "overload-factor": 4.0},
        "contracts": [{"name": "premium", "per-second": 35.0, "depth": 47.0, "concurrency": 0, "price": 1.4,
                       "excess-cost": 0.6, "beyond-earns": 0.0, "ceiling-rate": 0.0, "ceiling-burst": 0.0,
                       "ceiling-slack": 0.0}],
        "report": {"columns": ["active", "waiting", "avg_ms"], "how": "inline"},
        "specifics": {"may-count": False, "count-fee": 0.02, "count-wait-us": 30000, "largest": 8,
                      "inbox-per-s": 0.0, "meter-us": 0, "settles": False},
    }
    result.update(changes)
    return result


class Gatekeeper:
    """One gatekeeper, started with the command of the deploy file."""

    def __init__(self, case, agent, sockets=1024, memory_mb=192, settings=None):
        self.case = case
        self.port = common.free_ports(1)[0]
        config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{agent.port}",
                  "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "known": agent.list(), "settings": settings or globals()["settings"]()}
        path = case.file("config.json", json.dumps(config))
        temporary = os.path.join(case.directory, "tmp")
        os.makedirs(temporary, exist_ok=True)
        self.program = case.start("gatekeeper", common.run_command(),
                                  {"BALANCER_CONFIG": path, "BALANCER_NAME": "n0",
                                   "BALANCER_LISTEN": f"127.0.0.1:{self.port}",
                                   "BALANCER_DISCOVERY": f"127.0.0.1:{agent.port}", "TMPDIR": temporary})

    async def ready(self, seconds=20):
        """Waits until `PING` is answered with `+PONG`, as the front does."""
        for _ in range(int(seconds / 0.05)):
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(command("PING"))
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"+PONG\r\n":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the gatekeeper did not become ready")

    def has_ended(self):
        return self.program.poll() is not None


def query(number, deadline_ms=2400, tenant=None, units=1):
    """A lookup with a new id."""
    return command("SVC.QUERY", f"{tenant if tenant is not None else number % (1 << 33):016x}", f"{number:016x}",
                   f"c=loan-lookup,t=premium,d={deadline_ms},units={units},spread=1,first=0")


async def read_answer(reader):
    """One answer: ("served", value), ("refused", line), ("failed", line), or ("lost", why) if the connection ended
    before the answer was whole."""
    received = b""
    try:
        line = await reader.readline()
        received = line
        if not line.endswith(b"\r\n"):
            return "lost", f"the connection ended after {len(received)} bytes of the answer"
        if line.startswith(b"$") and line != b"$-1\r\n":
            length = int(line[1:])
            value = await reader.readexactly(length + 2)
            return "served", value[:-2]
        return ("refused" if line.startswith(b"-BUSY") else "failed"), line.decode().strip()
    except asyncio.IncompleteReadError as error:
        return "lost", f"the connection ended after {len(received) + len(error.partial)} bytes of the answer"
    except ConnectionError as error:
        return "lost", f"the connection broke: {error}"


async def connect(port, receive_buffer=None, limit=1 << 16):
    """A client's connection. `receive_buffer` is the size that the client asks the system for."""
    client = socket.socket()
    if receive_buffer:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, ("127.0.0.1", port))
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return await asyncio.open_connection(sock=client, limit=limit)
