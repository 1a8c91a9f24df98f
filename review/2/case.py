"""At SIGTERM the appliance takes requests whose last bytes were still arriving, and ends before it has answered them."""

import os
import re
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import harness
from harness import CouldNotRun, Gatekeeper, HttpReader, free_port, listen_tcp, main, start_consul

WRITE_SECONDS = 1.9      # from a request's first byte to its last; the pages name 2 s
SIGTERM_AFTER = 0.2      # SIGTERM comes this long after the requests' first bytes
# Operation: the time that the loan server takes, and the deadline of the operation's class in the file.
WORK = {"notices": (3.3, 4.0), "balance": (0.02, 2.5)}


def start_loan_server(record):
    runs, lock = [], threading.Lock()

    def serve(connection):
        reader = HttpReader(connection)
        while (message := reader.message()) is not None:
            line, fields, body = message
            name = fields.get("x-request", "-")
            with lock:
                runs.append(name)
            record("loan server", f"begins {name}: {line}, body of {len(body)} bytes")
            kind = line.split(" ")[1].rsplit("/", 1)[1]
            time.sleep(WORK[kind][0])
            answer = f'{{"done":"{name}"}}'
            status = "202 Accepted" if kind == "notices" else "200 OK"
            record("loan server", f"answers {name}")
            connection.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(answer)}\r\n\r\n{answer}".encode())

    return listen_tcp(serve).getsockname()[1], runs


def write_file(folder, listen, consul):
    """The shipped `deploy/openapi.toml` with free addresses and without the status listener."""
    deploy = os.path.join(harness.ROOT, "deploy")
    with open(os.path.join(deploy, "openapi.toml")) as file:
        text = file.read()
    text = text.replace('listen = "127.0.0.1:8080"', f'listen = "127.0.0.1:{listen}"')
    text = re.sub(r"^status = .*\n", "", text, flags=re.M)
    text = text.replace('address = "127.0.0.1:8500"', f'address = "127.0.0.1:{consul}"')
    text = text.replace('"loans.openapi.json"', f'"{os.path.join(deploy, "loans.openapi.json")}"')
    path = os.path.join(folder, "openapi.toml")
    with open(path, "w") as file:
        file.write(text)
    return path


class Client(threading.Thread):
    """Sends one request in two parts, and waits for its answer until it gives up."""

    def __init__(self, record, port, name, tenant, method, kind, pause):
        super().__init__(daemon=True)
        self.record, self.port, self.label, self.tenant, self.method, self.kind = record, port, name, tenant, method, kind
        self.pause, self.result, self.written_at = pause, None, None

    def run(self):
        body = b"x" * 400 if self.method == "POST" else b""
        head = (f"{self.method} /v1/loans/7/{self.kind} HTTP/1.1\r\nHost: appliance\r\nX-Lender: {self.tenant}\r\n"
                f"X-Request: {self.label}\r\n")
        head += f"Content-Length: {len(body)}\r\n" if body else ""
        data = head.encode() + b"\r\n" + body
        patience = WORK[self.kind][1]
        try:
            with socket.create_connection(("127.0.0.1", self.port), timeout=5) as connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.sendall(data[:len(data) // 2])
                self.record(self.label, f"{len(data) // 2} of the {len(data)} bytes of {self.method} {self.kind} written")
                time.sleep(self.pause)
                connection.sendall(data[len(data) // 2:])
                self.written_at = time.monotonic()
                self.record(self.label, "last byte written")
                connection.settimeout(patience)
                answer = HttpReader(connection).message()
                self.result = ("answered", answer[0]) if answer else ("closed", "end of the connection without an answer")
        except socket.timeout:
            self.result = ("silent", f"no answer in {patience} s")
        except OSError as error:
            self.result = ("closed", f"{error}") if self.written_at else ("refused", f"{error}")
        self.record(self.label, f"{self.result[0]}: {self.result[1]}")


def case(record, folder):
    loans, runs = start_loan_server(record)
    consul = start_consul(record, {"loan-server": [("loan-1", loans)]})
    listen = free_port()
    gatekeeper = Gatekeeper("appliance", f"serve {write_file(folder, listen, consul)}", folder=folder)
    for number in range(100):
        first = Client(record, listen, f"warm-up {number}", "al-noor", "GET", "balance", 0)
        first.run()
        if first.result and first.result[0] == "answered" and " 200 " in first.result[1]:
            break
        time.sleep(0.1)
    else:
        raise CouldNotRun("the appliance does not serve")
    time.sleep(3)
    clients = [
        Client(record, listen, "notice", "sohar-finance", "POST", "notices", WRITE_SECONDS),
        Client(record, listen, "balance", "al-noor", "GET", "balance", WRITE_SECONDS),
    ]
    for client in clients:
        client.start()
    time.sleep(SIGTERM_AFTER)
    if harness.TROUBLE:
        gatekeeper.signal(signal.SIGTERM)
        record("operator", "SIGTERM to the appliance; no SIGKILL follows")
    for client in clients:
        client.join(15)
    time.sleep(0.5)
    record("appliance", f"exit code {gatekeeper.exit_code()}")
    held = True
    for client in clients:
        if client.result is None:
            raise CouldNotRun("a client did not end")
        count = runs.count(client.label)
        # Taken: its last byte was written to an accepted connection, and the appliance read it, since it passed it on.
        taken = client.written_at is not None and count > 0
        if taken and client.result[0] != "answered":
            held = False
            record("check", f"{client.label} was taken and run {count} time(s), and has no final answer: {client.result[1]}")
        else:
            record("check", f"{client.label}: run {count} time(s), {client.result[0]}: {client.result[1]}")
    return held


main(case, __file__)
