"""Half of the instances that share periodic duties die at once: does any duty miss more than one period, does any run twice?"""
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

INSTANCES, DUTIES, PERIOD = 8, 40, 0.5
SLACK = 0.1
CALM, AFTER = 6.0, 12.0


class Target:
    """The target of the duties: it records each call and answers 200."""

    def __init__(self, record):
        self.record, self.calls = record, []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=256)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
            call = (fields["snowfield-duty"], int(fields["snowfield-round"]), fields["snowfield-by"], time.time())
            self.calls.append(call)
            self.record("run %s round %d by %s" % call[:3])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, KeyError, OSError):
            pass
        finally:
            writer.close()


def write_files(site, number, consul, target, gossip):
    name = f"muscat-{number + 1}"
    peers = ", ".join(f'"127.0.0.1:{port}"' for n, port in enumerate(gossip) if n != number)
    # deploy/cluster.toml with other addresses, duties of its own and no health checks.
    text = f'''listen = "127.0.0.1:{free_port()}"
descriptions = ["loans.openapi.json"]
lender_header = "X-Lender"
[consul]
address = "{consul.address}"
service = "loan-server"
[cluster]
name = "{name}"
listen = "127.0.0.1:{gossip[number]}"
peers = [{peers}]
key_file = "cluster.key"
standbys = 2
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
'''
    for duty in range(DUTIES):
        text += f'[[duty]]\nname = "duty-{duty}"\nperiod_ms = {PERIOD * 1000:.0f}\nurl = "http://{target.address}/duty"\n'
    path = os.path.join(site.directory, f"{name}.toml")
    with open(path, "w") as file:
        file.write(text)
    return name, path


def start(site, name, path):
    log = open(os.path.join(site.directory, f"{name}.log"), "ab")
    process = subprocess.Popen(["/bin/sh", "-c", f"{run_command()} serve {path}"], cwd=ROOT, stdout=log, stderr=log)
    site.processes.append(process)
    return process


async def play(site):
    consul, target = await Consul().start(), await Target(site.record).start()
    shutil.copy(os.path.join(ROOT, "deploy", "loans.openapi.json"), site.directory)
    key = os.path.join(site.directory, "cluster.key")
    with open(os.open(key, os.O_CREAT | os.O_WRONLY, 0o600), "w") as file:
        file.write(secrets.token_hex(32) + "\n")
    gossip = [free_port() for _ in range(INSTANCES)]
    instances = [start(site, *write_files(site, number, consul, target, gossip)) for number in range(INSTANCES)]
    await asyncio.sleep(8)
    if any(process.poll() is not None for process in instances):
        raise CannotRun("an instance ended: " + open(os.path.join(site.directory, "muscat-1.log")).read()[-500:])
    begin = time.time()
    await asyncio.sleep(CALM)
    if TROUBLE:
        for number in range(INSTANCES // 2):
            site.record(f"SIGKILL to muscat-{number + 1}")
            instances[number].send_signal(signal.SIGKILL)
    await asyncio.sleep(AFTER)
    end = time.time()
    for number, process in enumerate(instances):
        if process.poll() is not None and not (TROUBLE and number < INSTANCES // 2):
            raise CannotRun(f"muscat-{number + 1} ended by itself")
    breaks = []
    for duty in (f"duty-{number}" for number in range(DUTIES)):
        rounds = [(round_id, at) for name, round_id, _, at in target.calls if name == duty]
        for round_id in sorted({r for r, _ in rounds if [x for x, _ in rounds].count(r) > 1}):
            breaks.append(f"{duty}: round {round_id} was run twice")
        # The scheduled times without a run: between two that ran, and after the last one, of which the very last may yet come.
        ran = sorted({round_id for round_id, at in rounds if at >= begin - PERIOD})
        if not ran:
            breaks.append(f"{duty}: no run at all")
            continue
        gaps = [(one, round((after - one) / 1000 / PERIOD) - 1) for one, after in zip(ran, ran[1:])]
        gaps.append((ran[-1], int((end - SLACK - ran[-1] / 1000) / PERIOD) - 1))
        for one, missed in gaps:
            if missed > 1:
                breaks.append(f"{duty}: {missed} periods in a row without a run, from round {one + int(PERIOD * 1000)} on")
    site.record.say(f"{len(target.calls)} runs of {DUTIES} duties")
    if len(target.calls) < DUTIES * CALM / PERIOD / 2:
        raise CannotRun("the duties did not run before the trouble")
    return breaks


run_case(FOLDER, play)
