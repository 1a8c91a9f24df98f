"""Stand-ins for the cases 6 to 10: loan servers, discovery agent, quota counter, clients. Standard library only, loopback only.

They follow the operators' protocol pages. A loan server answers each command with an array of the value, null and null."""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run: neither held nor broken."""


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")

    def say(self, text):
        self(text)
        self.file.flush()
        print(text, flush=True)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def bulk(data):
    return b"$%d\r\n%s\r\n" % (len(data), data)


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(bulk(w if isinstance(w, bytes) else w.encode()) for w in words)


async def read_command(reader):
    """Reads one command; None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\r\n") or line[:1] != b"*":
        return None
    words = []
    for _ in range(int(line[1:])):
        head = await reader.readline()
        if head[:1] != b"$":
            return None
        words.append((await reader.readexactly(int(head[1:]) + 2))[:-2])
    return words


async def read_reply(reader):
    """Reads one reply of a gatekeeper: the kind of its first byte, and its text or value. Raises at a cut."""
    line = await reader.readuntil(b"\r\n")
    kind, rest = line[:1], line[1:-2]
    if kind == b"*":
        return await read_reply(reader)
    if kind == b"$" and int(rest) >= 0:
        return kind, (await reader.readexactly(int(rest) + 2))[:-2]
    return kind, rest


def value_of(request_id, size=0):
    """The value that a loan server makes for a request. It names the request, so that a foreign value is seen."""
    text = b"value-of-" + request_id
    return text + b"." * max(0, size - len(text))


def fields_of(words):
    return dict(item.split("=", 1) for item in words[3].decode().split(",") if "=" in item)


class LoanServer:
    """A loan server. `behave(server, words, writer)` is a coroutine that answers one command."""

    def __init__(self, uid, behave, record, model="m"):
        self.uid, self.behave, self.record, self.model = uid, behave, record, model
        self.port = None
        self.runs = []
        self.connections = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.server = server
        self.port = server.sockets[0].getsockname()[1]
        return self

    def entry(self, state="up"):
        return {"uid": self.uid, "endpoint": f"127.0.0.1:{self.port}", "az": "z", "model": self.model, "pod_group": 1,
                "state": state, "capacity_hint": 1.0, "boot_ms": 0}

    async def serve(self, reader, writer):
        self.connections += 1
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writer.waiting = 0
        try:
            while (words := await read_command(reader)) is not None:
                name = words[0].upper()
                if name in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                elif name == b"PING":
                    writer.write(b"+PONG\r\n")
                elif name in (b"SVC.QUERY", b"SVC.SUBMIT"):
                    self.runs.append((time.monotonic(), words[2].decode()))
                    self.record(f"run {words[2].decode()} at {self.uid} {words[3].decode()}")
                    writer.waiting += 1
                    await self.behave(self, words, writer)
                    writer.waiting -= 1
                else:
                    writer.write(b"-ERR no such command\r\n")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.gone = True
            try:
                writer.close()
            except OSError:
                pass


def served(value):
    return b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n"


class Agent:
    """The discovery agent: the whole list, or a watch that first sends the whole list and then an empty line every 2 s."""

    def __init__(self, targets):
        self.targets, self.rev, self.watchers = targets, 1, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def list(self):
        return json.dumps({"rev": self.rev, "all": True, "targets": self.targets}).encode()

    def change(self, entries):
        self.rev += 1
        changed = {e["uid"]: e for e in entries}
        self.targets = [t for t in self.targets if t["uid"] not in changed] + [e for e in entries if e["state"] != "removed"]
        line = json.dumps({"rev": self.rev, "all": False, "targets": entries}).encode() + b"\n"
        for queue in self.watchers:
            queue.put_nowait(line)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"stream=1" not in head.split(b"\r\n")[0]:
                    body = self.list()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    continue
                queue = asyncio.Queue()
                self.watchers.add(queue)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
                line = self.list() + b"\n"
                while True:
                    writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                    await writer.drain()
                    try:
                        line = await asyncio.wait_for(queue.get(), 2)
                    except asyncio.TimeoutError:
                        line = b"\n"
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()


class Counter:
    """The quota counter: TALLY NAME AMOUNT LIFE."""

    def __init__(self):
        self.totals = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while (words := await read_command(reader)) is not None:
                name = words[0].upper()
                if name == b"PING":
                    writer.write(b"+PONG\r\n")
                elif name in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                elif name == b"TALLY" and len(words) == 4:
                    now = time.monotonic()
                    total, until = self.totals.get(words[1], (0.0, 0.0))
                    if now >= until:
                        total, until = 0.0, now + min(float(words[3]), 60_000) / 1000
                    total += float(words[2])
                    self.totals[words[1]] = (total, until)
                    writer.write(bulk(b"%.7g" % total))
                else:
                    writer.write(b"-ERR no such call\r\n")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass
        finally:
            writer.close()


def read_class(name="loan-lookup", deadline_ms=2500, goal_ms=600):
    return {"name": name, "goal-time-us": goal_ms * 1000, "deadline-us": deadline_ms * 1000, "effect": "read_like", "group": "all",
            "key-ttl-us": 5_000_000, "late-worth": 0.0, "streaming": False, "worth": 1.0}


def settings(classes, gatekeepers=2, me=0, max_attempts=6, second_copies=True, rate=100_000.0):
    """Settings like those of a small deployment: the figures of the operators' example, with quotas that nobody reaches."""
    return {
        "balancers": gatekeepers, "me": me, "tick-us": 4000, "zone": 0, "localities": ["z"], "kinds": ["m"],
        "discovery": "push", "family": "gate",
        "bounds": {"cancel": True, "connect-timeout-us": 250_000, "keepalive-us": 30_000_000, "max-attempts": max_attempts,
                   "max-retry-after-us": 1_000_000, "retry-after": True, "second-copies": second_copies, "probing": False},
        "contract": {"answer-slack-us": 16_000, "ask-every-us": 10_000_000, "cold-share": 0.16, "cold-us": 17_000_000,
                     "drain-grace-us": 1_000_000, "fall-us": 1_500_000, "overload-factor": 4.0},
        "classes": classes,
        "contracts": [{"name": "premium", "per-second": rate, "depth": rate, "ceiling-rate": 0.0, "ceiling-burst": 0.0,
                       "concurrency": 0, "price": 1.4, "excess-cost": 0.6, "beyond-earns": 0.0}],
        "report": {"columns": [], "how": "off"},
        "specifics": {"may-count": True, "count-wait-us": 30_000, "largest": 8, "settles": False},
    }


class Gatekeeper:
    """A gatekeeper, started with the `run` command of the deploy file."""

    def __init__(self, site, name, agent, counter, configured, sockets=512, memory_mb=96, operator=False, directory=None):
        self.site, self.name = site, name
        self.listen = ("127.0.0.1", free_port())
        self.operator = f"127.0.0.1:{free_port()}" if operator else None
        self.directory = directory or tempfile.mkdtemp(dir=site.directory)
        self.config = {
            "name": name, "listen": "127.0.0.1:%d" % self.listen[1], "discovery": agent.address, "counter": counter.address,
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"rev": 0, "all": True, "targets": []}, "settings": configured}
        if self.operator:
            self.config["operator"] = self.operator
        self.path = os.path.join(site.directory, f"{name}.json")
        self.process = None

    def start(self):
        with open(self.path, "w") as file:
            json.dump(self.config, file)
        variables = dict(os.environ, TMPDIR=self.directory, BALANCER_NAME=self.name, BALANCER_LISTEN=self.config["listen"],
                         BALANCER_DISCOVERY=self.config["discovery"], BALANCER_CONFIG=self.path)
        if self.operator:
            variables["BALANCER_OPERATOR"] = self.operator
        log = open(os.path.join(self.site.directory, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=variables, stdout=log, stderr=log)
        self.site.processes.append(self.process)
        return self

    def signal(self, number):
        self.site.record(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def ready(self, limit=30):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}: {self.log()[-500:]}")
            try:
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(command("PING"))
                reply = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if reply == b"+PONG\r\n":
                    return self
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {limit} s")

    def log(self):
        with open(os.path.join(self.site.directory, f"{self.name}.log")) as file:
            return file.read()


def run_command():
    """The `run` line of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            if line.startswith("run = "):
                return line.split('"')[1]
    raise CannotRun("the deploy file has no run line")


class Site:
    """The temporary folder and the processes of a case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.directory = tempfile.mkdtemp(prefix="case-")
        self.processes = []

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


def request(request_id, d, cls="loan-lookup", tenant=0xB4D65521, verb="SVC.QUERY", extra="", spread=2):
    values = f"c={cls},t=premium,d={d}{extra},units=1,spread={spread},first=0"
    return command(verb, f"{tenant:016x}", request_id, values)


def run_case(folder, play, limit=110):
    """Plays a case and exits with its verdict. `play(site)` returns the list of the breaks that it saw."""
    site = Site(folder)
    verdict = NOT_RUN
    try:
        if not os.path.exists(os.path.join(ROOT, "target", "release", "snowfield")):
            raise CannotRun("target/release/snowfield is not built")
        breaks = asyncio.run(asyncio.wait_for(play(site), limit))
        for text in breaks[:20]:
            site.record.say("BROKEN " + text)
        verdict = BROKEN if breaks else HELD
        site.record.say(f"verdict: {'broken, %d times' % len(breaks) if breaks else 'held'} (trouble {'on' if TROUBLE else 'off'})")
    except CannotRun as error:
        site.record.say(f"cannot run: {error}")
    except asyncio.TimeoutError:
        site.record.say("cannot run: the case took too long")
    finally:
        site.close()
    sys.stdout.flush()
    os._exit(verdict)
