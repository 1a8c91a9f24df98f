"""A duty is removed and added again, by one SIGHUP each, within one of its periods."""

import os
import signal
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import common
from common import BROKEN, HELD, NOT_RUN
from consul import Consul

PERIOD_MS = 15_000
KEY = "5b" * 32


class Target:
    """The target of the duty. It answers each POST with 200 at once."""

    def __init__(self, record):
        self.runs = []
        self.lock = threading.Lock()
        target = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length") or 0))
                run = (self.headers["Snowfield-Duty"], int(self.headers["Snowfield-Round"]),
                       self.headers["Snowfield-By"])
                with target.lock:
                    target.runs.append(run)
                record("run", duty=run[0], round=run[1], by=run[2], path=self.path)
                self.send_response(200)
                self.send_header("Content-Length", "0")
                self.send_header("Connection", "close")
                self.end_headers()

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, address):
                pass  # the caller has left

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def rounds(self):
        with self.lock:
            return list(self.runs)


def configuration(case, number, ports, gossip, consul, target, with_duty):
    descriptions = os.path.join(common.ROOT, "deploy", "loans.openapi.json")
    peers = ", ".join(f'"127.0.0.1:{port}"' for index, port in enumerate(gossip) if index != number)
    duty = f"""
[[duty]]
name = "close-of-day"
period_ms = {PERIOD_MS}
url = "http://127.0.0.1:{target}/close"
"""
    return f"""
listen = "127.0.0.1:{ports[2 * number]}"
status = "127.0.0.1:{ports[2 * number + 1]}"
descriptions = ["{descriptions}"]
lender_header = "X-Lender"

[consul]
address = "127.0.0.1:{consul}"
service = "loan-server"
list_file = "{case.directory}/list-{number}"

[cluster]
name = "muscat-{number}"
listen = "127.0.0.1:{gossip[number]}"
peers = [{peers}]
key_file = "cluster.key"
standbys = 2
{duty if with_duty else ""}
[[class]]
name = "loan-lookup"
repeat = "safe"
wanted_ms = 600
deadline_ms = 2500

[[class]]
name = "loan-notice"
repeat = "unsafe"
wanted_ms = 1000
deadline_ms = 4000

[[plan]]
name = "basic"
units_per_second = 2.0
burst = 16.0

[[lender]]
name = "al-noor"
plan = "basic"
"""


def wait_for(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False


def body(case):
    import socket
    target = Target(case.record)
    consul = Consul(case.record, [("loan-server-1", "127.0.0.1", target.port)])
    ports = common.free_ports(4)
    gossip = common.free_ports(2, socket.SOCK_DGRAM)
    case.file("cluster.key", KEY + "\n")

    def write(with_duty):
        return [case.file(f"muscat-{number}.toml",
                          configuration(case, number, ports, gossip, consul.port, target.port, with_duty))
                for number in range(2)]

    paths = write(True)
    # An appliance is the program of `run` with the arguments `serve FILE`.
    programs = [case.start(f"muscat-{number}", f"{common.run_command()} serve {path}")
                for number, path in enumerate(paths)]
    if not wait_for(lambda: all("serving OpenAPI" in case.log(f"muscat-{n}") for n in range(2)), 20):
        return NOT_RUN, "the appliances did not start"

    if not wait_for(lambda: target.rounds(), 3 * PERIOD_MS / 1000):
        return NOT_RUN, "the duty never ran"
    first = target.rounds()[0][1]

    def reload(with_duty):
        count = [case.log(f"muscat-{n}").count("configuration reloaded") for n in range(2)]
        write(with_duty)
        for number, program in enumerate(programs):
            case.record("SIGHUP", program=f"muscat-{number}", duty=with_duty)
            program.send_signal(signal.SIGHUP)
        return wait_for(lambda: all(case.log(f"muscat-{n}").count("configuration reloaded") > count[n]
                                    for n in range(2)), 5)

    time.sleep(2)
    if common.trouble():
        # The operator removes the duty, and adds it again a few seconds later. The period is still the same.
        if not reload(False):
            return NOT_RUN, "the first reload was not reported"
        time.sleep(2)
        if not reload(True):
            return NOT_RUN, "the second reload was not reported"
    # To the end of the period in which the duty ran first, and over the next one.
    time.sleep(max(0.0, (first + 2 * PERIOD_MS) / 1000 - time.time() - 1))
    for number, program in enumerate(programs):
        if program.poll() is not None:
            return BROKEN, f"muscat-{number} ended by itself with code {program.returncode}"

    runs = target.rounds()
    counts = {}
    for _, number, _ in runs:
        counts[number] = counts.get(number, 0) + 1
    case.record("rounds", counts=counts)
    twice = {number: count for number, count in counts.items() if count > 1}
    if twice:
        return BROKEN, f"a round ran more than once: {twice}"
    if len(counts) < 2:
        return NOT_RUN, "the duty did not go on"
    return HELD, f"each of {len(counts)} rounds ran once"


common.run(os.path.dirname(os.path.abspath(__file__)), body)
