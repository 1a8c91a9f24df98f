"""What the cases share: the gatekeeper as a process, stand-ins on loopback, and the record of a run."""

import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.abspath(os.environ.get("REVIEW_ROOT") or os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Lines of `record.txt`: the time since the start of the case, who, and what."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, who, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {who}: {text}\n")
            self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run_command():
    """The `run` line of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)


class Gatekeeper:
    """One process, started from the root by `/bin/sh -c` with the `run` line of the deploy file."""

    started = []

    def __init__(self, name, arguments="", variables=None, folder=None):
        self.name = name
        self.log_path = os.path.join(folder, f"{name}.log")
        self.log = open(self.log_path, "w")
        environment = {**os.environ, **(variables or {})}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f"{run_command()} {arguments}".strip()],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        Gatekeeper.started.append(self)

    def signal(self, number):
        self.process.send_signal(number)

    def exit_code(self):
        return self.process.poll()

    def log_text(self):
        with open(self.log_path) as file:
            return file.read()

    def wait_for_log(self, text, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if text in self.log_text():
                return True
            if self.exit_code() is not None:
                return text in self.log_text()
            time.sleep(0.01)
        return False

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class CouldNotRun(Exception):
    pass


def main(case, path):
    """Runs `case(record, folder)`, which returns whether the rule held, and exits with the code for it."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(path)), "record.txt"))
    folder = tempfile.mkdtemp(prefix="review-")
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: (_ for _ in ()).throw(CouldNotRun("interrupted")))
    code = COULD_NOT_RUN
    try:
        record("case", f"TROUBLE={'1' if TROUBLE else '0'}, run line: {run_command()}")
        code = HELD if case(record, folder) else BROKEN
    except CouldNotRun as error:
        record("case", f"could not run: {error}")
    except Exception:
        record("case", "could not run:\n" + traceback.format_exc())
    for gatekeeper in Gatekeeper.started:
        gatekeeper.end()
        for line in gatekeeper.log_text().splitlines()[-40:]:
            record(f"log of {gatekeeper.name}", line)
    shutil.rmtree(folder, ignore_errors=True)
    record("case", {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "could not run"}[code])
    with open(record.file.name) as file:
        sys.stdout.write(file.read().splitlines()[-1] + "\n")
    sys.stdout.flush()
    os._exit(code)


def listen_tcp(serve, address=("127.0.0.1", 0), backlog=512):
    """Accepts connections in a thread, and serves each in a thread of its own. Returns the listener."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(backlog)

    def serve_one(connection):
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            serve(connection)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def accept():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve_one, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


# HTTP, as far as the cases need it.

class HttpReader:
    """Reads requests or responses with `Content-Length` from a connection."""

    def __init__(self, connection):
        self.connection, self.buffer = connection, b""

    def message(self):
        """The start line, the fields and the body of the next message; None at the end of the connection."""
        while b"\r\n\r\n" not in self.buffer:
            data = self.connection.recv(65536)
            if not data:
                return None
            self.buffer += data
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = {name.strip().lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
        length = int(fields.get("content-length", "0"))
        while len(self.buffer) < length:
            data = self.connection.recv(65536)
            if not data:
                return None
            self.buffer += data
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return lines[0], fields, body


def start_consul(record, services):
    """A stand-in for Consul's health API: `services` maps a name to a list of (id, port), all passing. A blocking query is held
    until its wait is over, since nothing changes."""

    def entries(name):
        return json.dumps([{
            "Node": {"Node": "node-1", "Address": "127.0.0.1"},
            "Service": {"ID": id, "Service": name, "Address": "127.0.0.1", "Port": port,
                        "Weights": {"Passing": 1, "Warning": 1}, "Meta": {}, "Tags": []},
            "Checks": [{"CheckID": f"service:{id}", "Status": "passing"}],
        } for id, port in services.get(name, [])])

    def serve(connection):
        reader = HttpReader(connection)
        while (message := reader.message()) is not None:
            target = message[0].split(" ")[1]
            path, _, query = target.partition("?")
            values = dict(part.partition("=")[::2] for part in query.split("&"))
            if path.startswith("/v1/health/service/"):
                if int(values.get("index", "0") or 0) >= 11:
                    wait = re.match(r"(\d+)(ms|s)?", values.get("wait", "10s"))
                    time.sleep(int(wait.group(1)) / (1000 if wait.group(2) == "ms" else 1))
                status, body = "200 OK", entries(path.rsplit("/", 1)[1])
            else:
                status, body = "404 Not Found", ""
            connection.sendall((f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nX-Consul-Index: 11\r\n"
                                f"X-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\n"
                                f"Content-Length: {len(body)}\r\n\r\n{body}").encode())

    return listen_tcp(serve).getsockname()[1]


# The platform: RESP2 and the discovery agent.

def resp_command(*words):
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word.encode() if isinstance(word, str) else word
        parts.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(parts)


class RespReader:
    """Reads RESP2 messages: commands as lists, bulk strings as bytes, lines as text."""

    def __init__(self, connection, size=65536):
        self.connection, self.size, self.buffer, self.position = connection, size, bytearray(), 0

    def fill(self):
        data = self.connection.recv(self.size)
        if not data:
            raise EOFError("end of the connection")
        if self.position > 1 << 20:
            del self.buffer[:self.position]
            self.position = 0
        self.buffer += data

    def line(self):
        while (end := self.buffer.find(b"\r\n", self.position)) < 0:
            self.fill()
        line = bytes(self.buffer[self.position:end])
        self.position = end + 2
        return line

    def message(self):
        line = self.line()
        kind, rest = line[:1], line[1:]
        if kind == b"*":
            return [self.message() for _ in range(int(rest))]
        if kind == b"$":
            length = int(rest)
            if length < 0:
                return None
            while len(self.buffer) - self.position < length + 2:
                self.fill()
            value = bytes(self.buffer[self.position:self.position + length])
            self.position += length + 2
            return value
        return line.decode("latin-1")


def target(uid, port, state="up", boot_ms=0):
    return {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "dc1", "model": "std", "pod_group": 0, "state": state,
            "capacity_hint": 1.0, "boot_ms": boot_ms}


class Agent:
    """The discovery agent: answers at once with what it has been sent; silent while discovery is down."""

    def __init__(self, record, targets):
        self.record, self.revision, self.targets = record, 41, {t["uid"]: t for t in targets}
        self.silent, self.watches, self.lock = False, [], threading.Lock()
        self.told = {}
        self.address = "127.0.0.1:%d" % listen_tcp(self.serve).getsockname()[1]

    def whole(self):
        return {"rev": self.revision, "all": True, "targets": list(self.targets.values())}

    @staticmethod
    def chunk(text):
        data = text.encode()
        return b"%x\r\n%s\r\n" % (len(data), data)

    def serve(self, connection):
        message = HttpReader(connection).message()
        if message is None:
            return
        if self.silent:
            self.record("agent", f"says nothing to {message[0]}")
            time.sleep(3600)
        with self.lock:
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            connection.sendall(self.chunk(json.dumps(self.whole()) + "\n"))
            self.watches.append(connection)
        while True:
            time.sleep(2)
            with self.lock:
                if self.silent:
                    time.sleep(0)
                else:
                    connection.sendall(self.chunk("\n"))

    def change(self, *targets):
        with self.lock:
            self.revision += 1
            for changed in targets:
                self.targets[changed["uid"]] = changed
            text = self.chunk(json.dumps({"rev": self.revision, "all": False, "targets": list(targets)}) + "\n")
            for connection in self.watches:
                try:
                    connection.sendall(text)
                except OSError:
                    pass


def platform_settings(**changes):
    """The settings of the operators' example for one gatekeeper, with quotas that no case reaches."""
    settings = {
        "balancers": 1, "me": 0, "tick-us": 4000, "zone": 0, "localities": ["dc1"], "kinds": ["std"], "discovery": "push",
        "bounds": {"cancel": True, "connect-timeout-us": 250000, "keepalive-us": 30000000, "max-attempts": 6,
                   "max-retry-after-us": 1000000, "retry-after": True, "second-copies": True, "probing": False,
                   "streams-per-conn": 100},
        "classes": [{"name": "loan-lookup", "goal-time-us": 600000, "deadline-us": 2500000, "effect": "read_like",
                     "group": "all", "worth": 1.0, "streaming": False, "key-ttl-us": 5000000, "late-worth": 0.0}],
        "contracts": [{"name": "premium", "per-second": 400.0, "depth": 800.0, "price": 1.4, "concurrency": 0,
                       "ceiling-rate": 0.0, "ceiling-burst": 0.0, "ceiling-slack": 0.0, "beyond-earns": 0.0,
                       "excess-cost": 0.6}],
        "contract": {"answer-slack-us": 16000, "drain-grace-us": 1000000, "cold-share": 0.16, "cold-us": 17000000,
                     "overload-factor": 4.0, "fall-us": 1500000, "ask-every-us": 10000000},
        "report": {"columns": ["active", "waiting", "avg_ms"], "how": "inline"},
        "specifics": {"may-count": True, "count-wait-us": 30000, "largest": 8, "count-fee": 0.02, "settles": False},
    }
    settings.update(changes)
    return settings


def platform_file(folder, name, listen, agent, known, settings=None, limits=None):
    config = {"name": name, "listen": f"127.0.0.1:{listen}", "discovery": agent.address, "seed": "8c1f30d27a5be964",
              "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **(limits or {})}, "known": known,
              "settings": settings or platform_settings()}
    path = os.path.join(folder, f"{name}.json")
    with open(path + ".new", "w") as file:
        json.dump(config, file)
    os.replace(path + ".new", path)
    return path


def start_resp_server(record, name, on_request, log=True):
    """A loan server: `on_request(words)` returns the value; None for no answer."""
    def serve(connection):
        reader = RespReader(connection)
        try:
            while True:
                words = reader.message()
                command = words[0].decode().upper()
                if command in ("CLIENT", "SELECT"):
                    connection.sendall(b"+OK\r\n")
                    continue
                if not command.startswith("SVC."):
                    connection.sendall(b"+PONG\r\n" if command == "PING" else b"-ERR\r\n")
                    continue
                if log:
                    record(name, "begins " + " ".join(word.decode() for word in words[1:4]))
                value = on_request(words)
                if value is None:
                    continue
                if isinstance(value, str):
                    connection.sendall(value.encode())
                    continue
                report = b"active=1,waiting=0,avg_ms=20"
                connection.sendall(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n" % (len(value), value, len(report), report))
        except EOFError:
            pass
    return listen_tcp(serve).getsockname()[1]


def query(id, tenant, deadline=2400, units=1, klass="loan-lookup", plan="premium", extra=""):
    return resp_command("SVC.QUERY", f"{tenant:016x}", id, f"c={klass},t={plan},d={deadline},units={units},spread=1,first=0{extra}")


def wait_for_pong(port, seconds=10):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1) as connection:
                connection.sendall(resp_command("PING"))
                if RespReader(connection).message() == "+PONG":
                    return
        except (OSError, EOFError):
            pass
        time.sleep(0.05)
    raise CouldNotRun("the gatekeeper answers no PING")


class Consul:
    """A stand-in for Consul's sessions, KV store, transactions and health API. While `silent` is set, it takes requests and answers
    none; afterwards it carries out what it has taken, as a server does that was suspended."""

    SESSION_TTL = 10.0

    def __init__(self, record, services):
        self.record, self.services = record, services
        self.lock, self.index, self.keys, self.sessions = threading.Lock(), 11, {}, {}
        self.services_index = 11
        self.awake = threading.Event()
        self.awake.set()
        self.on_request = lambda line, body: None
        self.port = listen_tcp(self.serve).getsockname()[1]

    def register(self, service, id, port):
        self.services[service] = self.services[service] + [(id, port)]
        self.services_index += 1
        self.record("consul", f"{id} is registered")

    def set_silent(self, silent):
        self.awake.clear() if silent else self.awake.set()
        self.record("consul", "is silent from now on" if silent else "answers again")

    def serve(self, connection):
        reader = HttpReader(connection)
        while (message := reader.message()) is not None:
            line, _, body = message
            method, target, _ = line.split(" ")
            self.on_request(line, body)
            self.awake.wait()
            status, answer = self.answer(method, target, body)
            if not target.startswith("/v1/health") and "/renew/" not in target:
                self.record("consul", f"{method} {target} -> {status}")
            answer = answer if isinstance(answer, str) else json.dumps(answer)
            connection.sendall((f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nX-Consul-Index: "
                                f"{self.services_index if '/health/' in target else self.index}\r\n"
                                f"X-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\n"
                                f"Content-Length: {len(answer)}\r\n\r\n{answer}").encode())

    def alive(self, session):
        renewed_at = self.sessions.get(session)
        if renewed_at is not None and time.monotonic() - renewed_at > 1.5 * self.SESSION_TTL:
            del self.sessions[session]
            for key in [key for key, entry in self.keys.items() if entry.get("Session") == session]:
                del self.keys[key]
        return session in self.sessions

    def entries(self, name):
        return [{
            "Node": {"Node": "node-1", "Address": "127.0.0.1"},
            "Service": {"ID": id, "Service": name, "Address": "127.0.0.1", "Port": port,
                        "Weights": {"Passing": 1, "Warning": 1}, "Meta": {}, "Tags": []},
            "Checks": [{"CheckID": f"service:{id}", "Status": "passing"}],
        } for id, port in self.services.get(name, [])]

    def answer(self, method, target, body):
        path, _, query = target.partition("?")
        values = dict(part.partition("=")[::2] for part in query.split("&")) if query else {}
        if path.startswith("/v1/health/service/"):
            known, end = int(values.get("index", "0") or 0), time.monotonic() + 10
            while known >= self.services_index and time.monotonic() < end:
                time.sleep(0.01)
            # A query that waits when Consul falls silent is not answered before Consul is back.
            self.awake.wait()
            return "200 OK", self.entries(path.rsplit("/", 1)[1])
        with self.lock:
            if path == "/v1/session/create":
                session = "%08x-0000-4000-8000-%012x" % (len(self.sessions) + 1, self.index)
                self.sessions[session] = time.monotonic()
                return "200 OK", {"ID": session}
            if path.startswith("/v1/session/renew/"):
                session = path.rsplit("/", 1)[1]
                if not self.alive(session):
                    return "404 Not Found", ""
                self.sessions[session] = time.monotonic()
                return "200 OK", [{"ID": session}]
            if path.startswith("/v1/session/destroy/"):
                self.sessions.pop(path.rsplit("/", 1)[1], None)
                return "200 OK", "true"
            if path == "/v1/txn":
                return self.transaction(json.loads(body))
            if path.startswith("/v1/kv/"):
                return self.key_value(method, path[len("/v1/kv/"):], values, body)
        return "404 Not Found", ""

    def put(self, key, value, session=None):
        self.index += 1
        entry = {"Key": key, "Value": value, "ModifyIndex": self.index, "CreateIndex": self.index, "LockIndex": 0, "Flags": 0}
        if session:
            entry["Session"] = session
        self.keys[key] = entry
        return entry

    def key_value(self, method, key, values, body):
        if method == "PUT":
            if "acquire" not in values or not self.alive(values["acquire"]):
                return "200 OK", "false"
            self.put(key, base64.b64encode(body).decode(), values["acquire"])
            return "200 OK", "true"
        found = [entry for name, entry in sorted(self.keys.items())
                 if (name.startswith(key) if "recurse" in values else name == key)]
        return ("200 OK", found) if found else ("404 Not Found", "")

    def transaction(self, operations):
        results, errors = [], []
        for number, operation in enumerate(operations):
            kv = operation["KV"]
            entry = self.keys.get(kv["Key"])
            if kv["Verb"] == "check-session":
                if entry is None or not self.alive(kv["Session"]) or entry.get("Session") != kv["Session"]:
                    errors.append({"OpIndex": number, "What": "failed session check"})
                else:
                    results.append({"KV": {**entry, "Value": None}})
            elif (entry["ModifyIndex"] if entry else 0) != kv["Index"]:
                errors.append({"OpIndex": number, "What": "failed index check"})
            else:
                results.append(kv)
        if errors:
            return "409 Conflict", {"Results": None, "Errors": errors}
        results = [{"KV": {**self.put(r["Key"], r["Value"]), "Value": None}} if "Verb" in r else r for r in results]
        return "200 OK", {"Results": results, "Errors": None}
