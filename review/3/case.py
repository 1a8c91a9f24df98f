"""A client that reads a long value slowly loses the finished answers of the requests behind it on its connection."""

import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import harness
from harness import Agent, Gatekeeper, RespReader, free_port, main, platform_file, query, start_resp_server, target, wait_for_pong

LOAN_SERVERS = 12
LONG_VALUE, SHORT_VALUE = 4_000_000, 60_000   # bytes; the pages name 4 MiB, and 64 KiB for a value that is not long
REQUESTS_BEHIND = 8
PIECE, PAUSE = 20_000, 0.02                   # the slow client reads a piece, and pauses: 4.5 MB in about 5 s
DEADLINE = 2400


class SlowReader(RespReader):
    def fill(self):
        if harness.TROUBLE:
            time.sleep(PAUSE)
            self.size = PIECE
        super().fill()


def case(record, folder):
    runs, lock = {}, threading.Lock()

    def value(words):
        id = words[2].decode()
        with lock:
            runs[id] = runs.get(id, 0) + 1
        time.sleep(0.05)
        size = LONG_VALUE if id.endswith("00") else SHORT_VALUE
        return (words[2] * (size // len(id) + 1))[:size]

    ports = [start_resp_server(record, f"loan server {number}", value) for number in range(LOAN_SERVERS)]
    agent = Agent(record, [target(f"s-{number}", port) for number, port in enumerate(ports)])
    listen = free_port()
    path = platform_file(folder, "n0", listen, agent, agent.whole())
    gatekeeper = Gatekeeper("n0", variables={"BALANCER_CONFIG": path, "TMPDIR": folder}, folder=folder)
    wait_for_pong(listen)
    time.sleep(2)

    ids = [f"{0x100 + number:016x}" for number in range(1 + REQUESTS_BEHIND)]
    connection = socket.create_connection(("127.0.0.1", listen))
    connection.settimeout(10)
    connection.sendall(b"".join(query(id, 1000 + number, DEADLINE) for number, id in enumerate(ids)))
    record("client", f"{len(ids)} requests of {len(ids)} customers written on one connection")
    reader, held, ended = SlowReader(connection), True, None
    for id in ids:
        try:
            answer = reader.message() if ended is None else None
        except (EOFError, OSError) as error:
            ended, answer = f"{type(error).__name__}: {error}", None
            record("client", f"{ended}, {len(reader.buffer) - reader.position} bytes of the answer to {id} were there")
        if isinstance(answer, bytes):
            own = answer[:len(id)].decode() == id
            record("client", f"{id}: served with {len(answer)} bytes of its own: {own}")
            held &= own
        elif ended is None:
            record("client", f"{id}: {answer}")
        else:
            held = False
            record("check", f"{id} was taken, run {runs.get(id, 0)} time(s), and lost: the gatekeeper ended the connection")
    record("client", f"the reading took {time.monotonic() - record.start:.1f} s since the start")
    # That the gatekeeper still serves shows that neither its memory nor its process was at an end.
    wait_for_pong(listen)
    record("gatekeeper", f"exit code {gatekeeper.exit_code()}, PING is answered")
    return held


main(case, __file__)
