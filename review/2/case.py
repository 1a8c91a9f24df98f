"""A reload while a lost answer of Consul is being cleared up stops a duty for good."""

import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import harness
from harness import CouldNotRun, Consul, Gatekeeper, HttpReader, free_port, listen_tcp, main

PERIOD = 10.0            # period_ms of the duty
SILENT_SECONDS = 3.0     # Consul answers nothing for so long; the pages name 30 s
RELOAD_AFTER = 1.4       # SIGHUP comes this long after the scheduled time of the run
WATCHED_PERIODS = 3      # for so many periods after the trouble

FILE = """
listen = "127.0.0.1:{listen}"
descriptions = ["{descriptions}"]
lender_header = "X-Lender"

[consul]
address = "127.0.0.1:{consul}"
service = "loan-server"

[cluster]
name = "muscat-1"
listen = "127.0.0.1:{gossip}"
peers = ["127.0.0.1:{peer}"]
key_file = "cluster.key"
standbys = 2

[[duty]]
name = "close-of-day"
period_ms = {period}
url = "http://127.0.0.1:{target}/close"
{more}
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
SECOND_DUTY = """
[[duty]]
name = "statements"
period_ms = 10000
url = "http://127.0.0.1:{target}/statements"
"""


def start_target(record, rounds):
    def serve(connection):
        reader = HttpReader(connection)
        while (message := reader.message()) is not None:
            fields = message[1]
            if fields["snowfield-duty"] == "close-of-day":
                rounds.append(int(fields["snowfield-round"]))
            record("target", f"{fields['snowfield-duty']}: round {fields['snowfield-round']} by {fields['snowfield-by']}")
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    return listen_tcp(serve).getsockname()[1]


def wait_until(unix):
    time.sleep(max(0.0, unix - time.time()))


def case(record, folder):
    rounds = []
    target, consul = start_target(record, rounds), Consul(record, {"loan-server": []})
    values = {"listen": free_port(), "consul": consul.port, "gossip": free_port(socket.SOCK_DGRAM),
              "peer": free_port(socket.SOCK_DGRAM), "target": target, "period": int(PERIOD * 1000),
              "descriptions": os.path.join(harness.ROOT, "deploy", "loans.openapi.json")}
    path = os.path.join(folder, "cluster.toml")

    def write_file(more):
        with open(path + ".new", "w") as file:
            file.write(FILE.format(more=more, **values))
        os.replace(path + ".new", path)

    write_file("")
    with open(os.path.join(folder, "cluster.key"), "w") as file:
        file.write("5a" * 32 + "\n")
    os.chmod(os.path.join(folder, "cluster.key"), 0o600)
    gatekeeper = Gatekeeper("muscat-1", f"serve {path}", folder=folder)
    end = time.monotonic() + 3 * PERIOD + 5
    while len(rounds) < 2:
        if time.monotonic() > end or gatekeeper.exit_code() is not None:
            raise CouldNotRun("the duty did not run twice before the trouble")
        time.sleep(0.02)
    scheduled = rounds[-1] / 1000 + PERIOD
    wait_until(scheduled - 0.15)
    if harness.TROUBLE:
        consul.set_silent(True)
    wait_until(scheduled + RELOAD_AFTER)
    # The operator adds a second duty, and reloads.
    write_file(SECOND_DUTY.format(target=target))
    gatekeeper.signal(signal.SIGHUP)
    record("operator", "SIGHUP: a second duty is added")
    wait_until(scheduled - 0.15 + SILENT_SECONDS)
    if harness.TROUBLE:
        consul.set_silent(False)
    answers_again = time.time()
    wait_until(scheduled + (1 + WATCHED_PERIODS) * PERIOD)
    if gatekeeper.exit_code() is not None:
        raise CouldNotRun("the gatekeeper has ended")
    # The runs that came due after Consul answered again, and whose periods are over. The run of the outage itself is excused.
    due = [int(round((scheduled + number * PERIOD) * 1000)) for number in range(1, WATCHED_PERIODS + 1)]
    missed = [round_ for round_ in due if round_ not in rounds]
    record("check", f"runs of close-of-day: {rounds}")
    record("check", f"due since Consul answers again ({int(answers_again * 1000)}): {due}; missed: {missed}")
    return len(missed) <= 1


main(case, __file__)
