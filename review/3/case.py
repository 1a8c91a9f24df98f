"""After an outage of Consul of 3 s, in which a loan server is registered, a duty never runs again."""

import os
import re
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import harness
from harness import CouldNotRun, Consul, Gatekeeper, HttpReader, free_port, listen_tcp, main

PERIOD = 10.0            # period_ms of the duty
SILENT_SECONDS = 3.0     # Consul answers nothing for so long; the pages name 30 s
SILENT_BEFORE = 0.15     # Consul falls silent this long before a run is due
REGISTERED_AFTER = 1.0   # a loan server is registered this long after the run was due
WATCHED_PERIODS = 3      # for so many periods after the trouble


def write_file(folder, consul, target):
    """The shipped `deploy/cluster.toml` with free addresses, without the status listener, and with a shorter period."""
    deploy = os.path.join(harness.ROOT, "deploy")
    with open(os.path.join(deploy, "cluster.toml")) as file:
        text = file.read()
    text = re.sub(r"^status = .*\n", "", text, flags=re.M)
    changes = {
        '"127.0.0.1:8080"': f'"127.0.0.1:{free_port()}"', '"127.0.0.1:8500"': f'"127.0.0.1:{consul}"',
        '"127.0.0.1:7946"': f'"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"',
        '"127.0.0.1:7947"': f'"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"',
        '"127.0.0.1:7948"': f'"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"',
        '"http://127.0.0.1:9000/close"': f'"http://127.0.0.1:{target}/close"', "period_ms = 60000": f"period_ms = {int(PERIOD * 1000)}",
        '"loans.openapi.json"': f'"{os.path.join(deploy, "loans.openapi.json")}"',
    }
    for old, new in changes.items():
        if old not in text:
            raise CouldNotRun(f"deploy/cluster.toml has no {old}")
        text = text.replace(old, new)
    with open(os.path.join(folder, "cluster.key"), "w") as file:
        file.write("5a" * 32 + "\n")
    os.chmod(os.path.join(folder, "cluster.key"), 0o600)
    path = os.path.join(folder, "cluster.toml")
    with open(path, "w") as file:
        file.write(text)
    return path


def start_loan_server():
    def serve(connection):
        reader = HttpReader(connection)
        while reader.message() is not None:
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    return listen_tcp(serve).getsockname()[1]


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
    target = start_target(record, rounds)
    consul = Consul(record, {"loan-server": [("loan-1", start_loan_server()), ("loan-2", start_loan_server())]})
    gatekeeper = Gatekeeper("muscat-1", f"serve {write_file(folder, consul.port, target)}", folder=folder)
    end = time.monotonic() + 3 * PERIOD + 5
    while len(rounds) < 2:
        if time.monotonic() > end or gatekeeper.exit_code() is not None:
            raise CouldNotRun("the duty did not run twice before the trouble")
        time.sleep(0.02)
    scheduled = rounds[-1] / 1000 + PERIOD
    wait_until(scheduled - SILENT_BEFORE)
    if harness.TROUBLE:
        consul.set_silent(True)
    wait_until(scheduled + REGISTERED_AFTER)
    consul.register("loan-server", "loan-3", start_loan_server())
    wait_until(scheduled - SILENT_BEFORE + SILENT_SECONDS)
    if harness.TROUBLE:
        consul.set_silent(False)
    answers_again = time.time()
    wait_until(scheduled + (1 + WATCHED_PERIODS) * PERIOD)
    if gatekeeper.exit_code() is not None:
        raise CouldNotRun("the gatekeeper has ended")
    # The runs that came due after Consul answered again, and whose periods are over. The run of the outage itself is excused.
    due = [int(round((scheduled + number * PERIOD) * 1000)) for number in range(1, WATCHED_PERIODS + 1)]
    missed = [moment for moment in due if moment not in rounds]
    record("check", f"runs of close-of-day: {rounds}")
    record("check", f"due since Consul answers again ({int(answers_again * 1000)}): {due}; missed: {missed}")
    return len(missed) <= 1


main(case, __file__)
