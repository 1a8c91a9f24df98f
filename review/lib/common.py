"""What the cases share: the record, free ports, and the programs that a case starts."""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, NOT_RUN = 0, 1, 2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """`record.txt`: one line for each event, with seconds since the start of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self("start", trouble=trouble())

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, event, **fields):
        with self.lock:
            values = " ".join(f"{name}={value}" for name, value in fields.items())
            self.file.write(f"{self.now():9.4f} {event} {values}".rstrip() + "\n")
            self.file.flush()


def free_ports(count, kind=socket.SOCK_STREAM):
    """Ports that are free now, below the range from which the system takes those of outgoing connections."""
    ports, start = [], 20000 + (os.getpid() * 37) % 9000
    for port in range(start, start + 3000):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("no free ports")


def run_command():
    """The command by which the deploy file starts the program."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


class Case:
    """The programs and the folder of one case. All programs are ended when the case ends."""

    def __init__(self, folder, seconds=110):
        self.folder = os.path.abspath(folder)
        self.record = Record(self.folder)
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.programs = []
        self.watchdog = threading.Timer(seconds, self.give_up)
        self.watchdog.daemon = True
        self.watchdog.start()
        for ending in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(ending, self.interrupted)

    def give_up(self):
        self.record("the case took too long")
        self.close()
        os._exit(NOT_RUN)

    def interrupted(self, number, frame):
        self.record("the case was interrupted", signal=number)
        self.close()
        os._exit(NOT_RUN)

    def file(self, name, text):
        path = os.path.join(self.directory, name)
        temporary = path + ".new"
        with open(temporary, "w") as file:
            file.write(text)
        os.replace(temporary, path)
        return path

    def start(self, name, command, environment=None):
        """Starts a program from the root with `/bin/sh -c`, as the platform does. `exec` makes it the program itself."""
        log = open(os.path.join(self.directory, name + ".log"), "w")
        variables = {**os.environ, **(environment or {})}
        program = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=variables, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL)
        self.programs.append(program)
        self.record("started", program=name, pid=program.pid)
        return program

    def log(self, name):
        with open(os.path.join(self.directory, name + ".log")) as file:
            return file.read()

    def close(self):
        for program in self.programs:
            if program.poll() is None:
                try:
                    program.send_signal(signal.SIGCONT)
                    program.kill()
                except ProcessLookupError:
                    pass
                program.wait()
        for name in sorted(os.listdir(self.directory)):
            if name.endswith(".log"):
                for line in self.log(name[:-4]).splitlines():
                    self.record("log", of=name[:-4], line=line)
        shutil.rmtree(self.directory, ignore_errors=True)

    def end(self, verdict, text):
        self.record("verdict", code=verdict, text=text)
        self.close()
        try:
            print(text)
            sys.stdout.flush()
        except OSError:
            pass
        os._exit(verdict)


def run(folder, body, seconds=110):
    """Runs a case: `body(case)` returns its verdict and a text. An error of the case itself is no verdict."""
    case = Case(folder, seconds)
    case.end(*judged(case, body))


def run_async(folder, main, seconds=110):
    """Runs a case on an event loop: `main(case)` is a coroutine that returns its verdict and a text."""
    case = Case(folder, seconds)

    async def whole():
        try:
            verdict = await main(case)
        except Exception as error:  # the case could not run
            verdict = failed(case, error)
        # The process ends here, with all connections of the stand-ins.
        case.end(*verdict)

    asyncio.run(whole())


def judged(case, body):
    try:
        return body(case)
    except Exception as error:  # the case could not run
        return failed(case, error)


def failed(case, error):
    case.record("error", text=repr(error), at=traceback.format_exc().replace("\n", " | "))
    return NOT_RUN, f"the case could not run: {error!r}"
