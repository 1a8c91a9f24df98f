"""A periodic duty is taken out of the file and put back in the same period, with a SIGHUP each: does one of its runs happen twice?"""
import asyncio
import os
import secrets
import shutil
import signal
import subprocess
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand-ins-2"))
from standins import *  # noqa: E402,F403
from consul import Consul  # noqa: E402

PERIOD, ROUNDS = 10.0, 3
DUTY = "close-of-day"


class Target:
    """The target of the duty: it records each call and answers 200."""

    def __init__(self, record):
        self.record, self.calls = record, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
            self.calls.append((fields["snowfield-duty"], int(fields["snowfield-round"])))
            self.record("run %s, round %d" % self.calls[-1])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, KeyError, OSError):
            pass
        finally:
            writer.close()


def write_file(path, consul, target, listen, gossip, with_duty):
    """deploy/cluster.toml with other addresses and a period of 10 s, as the one instance that is up, without health checks."""
    text = open(os.path.join(ROOT, "deploy", "cluster.toml")).read()
    probe = text.index("[probe]")
    duty = text.index("[[duty]]")
    rest = text.index("[[class]]")
    block = text[duty:rest].replace("period_ms = 60000", f"period_ms = {PERIOD * 1000:.0f}")
    block = block.replace("http://127.0.0.1:9000", f"http://{target.address}")
    text = text[:probe] + (block if with_duty else "") + text[rest:]
    text = text.replace("127.0.0.1:8080", f"127.0.0.1:{listen}").replace('status = "127.0.0.1:8081"\n', "")
    text = text.replace("127.0.0.1:8500", consul.address).replace("127.0.0.1:7946", f"127.0.0.1:{gossip[0]}")
    text = text.replace("127.0.0.1:7947", f"127.0.0.1:{gossip[1]}").replace("127.0.0.1:7948", f"127.0.0.1:{gossip[2]}")
    with open(path + ".new", "w") as file:
        file.write(text)
    os.rename(path + ".new", path)


async def play(site):
    consul, target = await Consul().start(), await Target(site.record).start()
    shutil.copy(os.path.join(ROOT, "deploy", "loans.openapi.json"), site.directory)
    with open(os.open(os.path.join(site.directory, "cluster.key"), os.O_CREAT | os.O_WRONLY, 0o600), "w") as file:
        file.write(secrets.token_hex(32) + "\n")
    listen, gossip = free_port(), [free_port() for _ in range(3)]
    path = os.path.join(site.directory, "cluster.toml")
    write_file(path, consul, target, listen, gossip, True)
    log = open(os.path.join(site.directory, "appliance.log"), "ab")
    process = subprocess.Popen(["/bin/sh", "-c", f"{run_command()} serve {path}"], cwd=ROOT, stdout=log, stderr=log)
    site.processes.append(process)
    for _ in range(ROUNDS):
        before = len(target.calls)
        until = time.monotonic() + 2.5 * PERIOD
        while len(target.calls) == before:
            if time.monotonic() > until or process.poll() is not None:
                raise CannotRun("the duty does not run: " + open(os.path.join(site.directory, "appliance.log")).read()[-800:])
            await asyncio.sleep(0.05)
        # Half a second after a run the duty is taken out, and half a second later it is put back.
        for with_duty in (not TROUBLE, True):
            await asyncio.sleep(0.5)
            write_file(path, consul, target, listen, gossip, with_duty)
            site.record(f"SIGHUP, the file {'has' if with_duty else 'lacks'} the duty")
            process.send_signal(signal.SIGHUP)
        await asyncio.sleep(1.5)
    rounds = [round_id for _, round_id in target.calls]
    site.record(open(os.path.join(site.directory, "appliance.log")).read())
    site.record.say(f"{len(rounds)} runs of {len(set(rounds))} rounds")
    return [f"round {round_id} of {DUTY} was run {rounds.count(round_id)} times" for round_id in sorted(set(rounds))
            if rounds.count(round_id) > 1]


run_case(FOLDER, play)
