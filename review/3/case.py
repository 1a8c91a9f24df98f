"""One of three registrations in Consul states a start in nanoseconds instead of milliseconds."""

import asyncio
import os
import time

import common
from common import BROKEN, HELD, NOT_RUN
from consul import Consul

SERVERS = 3
SECONDS = 12
ASK_EVERY_S = 0.1


async def read_message(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in head[1:] if ":" in line}
    return head[0], await reader.readexactly(int(fields.get("content-length", 0)))


async def main(case):
    async def serve(number, reader, writer):
        try:
            while True:
                line, _ = await read_message(reader)
                case.record("run", server=f"loan-server-{number}", request=line.split(" ")[1])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def server(number):
        return asyncio.start_server(lambda reader, writer: serve(number, reader, writer), "127.0.0.1", 0)

    servers = [await server(number) for number in range(SERVERS)]
    consul = Consul(case.record, [(f"loan-server-{number}", "127.0.0.1", server.sockets[0].getsockname()[1])
                                  for number, server in enumerate(servers)])
    # All three have been up for an hour, by their registrations.
    started_ms = int(time.time() * 1000) - 3_600_000
    for number in range(SERVERS):
        consul.meta[f"loan-server-{number}"] = {"snowfield-started-ms": str(started_ms)}
    if common.trouble():
        consul.meta["loan-server-0"] = {"snowfield-started-ms": str(started_ms * 1_000_000)}
    case.record("registered", meta=consul.meta)

    port, status = common.free_ports(2)
    with open(os.path.join(common.ROOT, "deploy", "openapi.toml")) as file:
        text = file.read()
    for old, new in [("127.0.0.1:8080", f"127.0.0.1:{port}"), ("127.0.0.1:8081", f"127.0.0.1:{status}"),
                     ("127.0.0.1:8500", f"127.0.0.1:{consul.port}"),
                     ("loans.openapi.json", os.path.join(common.ROOT, "deploy", "loans.openapi.json")),
                     ('service = "loan-server"', f'service = "loan-server"\nlist_file = "{case.directory}/list"'),
                     # The lender asks 10 times a second and has a plan for it.
                     ("units_per_second = 2.0", "units_per_second = 50.0"), ("burst = 16.0", "burst = 100.0")]:
        if old not in text:
            return NOT_RUN, f"deploy/openapi.toml has no {old}"
        text = text.replace(old, new)
    # An appliance is the program of `run` with the arguments `serve FILE`.
    program = case.start("appliance", f"{common.run_command()} serve {case.file('openapi.toml', text)}")
    for _ in range(200):
        if "serving OpenAPI" in case.log("appliance"):
            break
        await asyncio.sleep(0.05)
    else:
        return NOT_RUN, "the appliance did not start"
    await asyncio.sleep(2)

    counts = {}

    async def ask(number):
        path = f"/v1/loans/{number}/balance"
        case.record("sent", request=path)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: loans\r\nX-Lender: al-noor\r\nConnection: close\r\n\r\n".encode())
            line, _ = await asyncio.wait_for(read_message(reader), 5)
            writer.close()
            answer = line.split(" ")[1]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            answer = type(error).__name__
        case.record("answered", request=path, answer=answer)
        counts[answer] = counts.get(answer, 0) + 1

    asking = []
    for number in range(int(SECONDS / ASK_EVERY_S)):
        asking.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(ASK_EVERY_S)
    await asyncio.gather(*asking)
    case.record("answers", counts=counts, ended=program.poll())
    if program.poll() is not None:
        return BROKEN, f"the appliance ended by itself with code {program.returncode}; {counts}"
    served = counts.get("200", 0)
    if served == 0:
        return BROKEN, f"not one of {len(asking)} requests was served, with two sound servers listed: {counts}"
    if served < len(asking) * 0.9:
        return NOT_RUN, f"only some requests were served: {counts}"
    return HELD, f"{served} of {len(asking)} requests were served: {counts}"


common.run_async(os.path.dirname(os.path.abspath(__file__)), main)
