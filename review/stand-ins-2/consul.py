"""A stand-in of Consul's HTTP API, from its public description: the health of a service, sessions, the KV store and transactions."""
import asyncio
import base64
import json
import time
import urllib.parse
import uuid


class Consul:
    """A sound server. A session without a renewal ends one and a half of its TTLs later, and its keys are deleted."""

    def __init__(self, services=None):
        self.services = services or {}
        self.index, self.keys, self.sessions = 10, {}, {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=256)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target = head[0].split(" ")[:2]
                length = next((int(line.split(":")[1]) for line in head if line.lower().startswith("content-length:")), 0)
                body = await reader.readexactly(length)
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, value = await self.answer(method, urllib.parse.unquote(path), query, body)
                data = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d S\r\nContent-Type: application/json\r\nX-Consul-Index: %d\r\nX-Consul-Knownleader: true\r\n"
                             b"X-Consul-Lastcontact: 0\r\nContent-Length: %d\r\n\r\n" % (status, self.index, len(data)) + data)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        self.expire()
        if path.startswith("/v1/health/service/"):
            if int(query.get("index", 0)) > 0:
                await asyncio.sleep(9)
            return 200, self.services.get(path[len("/v1/health/service/"):], [])
        if path == "/v1/session/create":
            asked = json.loads(body or b"{}")
            session = str(uuid.uuid4())
            ttl = float(asked.get("TTL", "30s").rstrip("s"))
            self.sessions[session] = [ttl, time.monotonic() + 1.5 * ttl]
            return 200, {"ID": session}
        if path.startswith("/v1/session/renew/"):
            session = self.sessions.get(path[len("/v1/session/renew/"):])
            if session is None:
                return 404, "no such session"
            session[1] = time.monotonic() + 1.5 * session[0]
            return 200, [{"ID": path[len("/v1/session/renew/"):], "TTL": f"{session[0]:.0f}s"}]
        if path.startswith("/v1/session/destroy/"):
            self.end(path[len("/v1/session/destroy/"):])
            return 200, True
        if path == "/v1/txn":
            return self.transaction(json.loads(body))
        if path.startswith("/v1/kv/") and method == "GET":
            key = path[len("/v1/kv/"):]
            found = [self.entry(k) for k in sorted(self.keys) if (k.startswith(key) if "recurse" in query else k == key)]
            return (200, found) if found else (404, None)
        if path.startswith("/v1/kv/") and method == "PUT" and "acquire" in query:
            key = path[len("/v1/kv/"):]
            holder = self.keys.get(key, {}).get("Session")
            if query["acquire"] not in self.sessions or holder not in (None, query["acquire"]):
                return 200, False
            self.write(key, base64.b64encode(body).decode(), query["acquire"])
            return 200, True
        return 404, "no such path"

    def entry(self, key):
        return dict(self.keys[key], Key=key)

    def write(self, key, value, session=None):
        self.index += 1
        before = self.keys.get(key, {"CreateIndex": self.index, "LockIndex": 0, "Flags": 0})
        self.keys[key] = dict(before, ModifyIndex=self.index, Value=value, **({"Session": session} if session else {}))

    def end(self, session):
        self.sessions.pop(session, None)
        for key in [key for key, entry in self.keys.items() if entry.get("Session") == session]:
            del self.keys[key]
            self.index += 1

    def expire(self):
        for session in [name for name, (_, until) in self.sessions.items() if time.monotonic() > until]:
            self.end(session)

    def transaction(self, operations):
        errors = []
        for number, operation in enumerate(operations):
            asked = operation["KV"]
            entry = self.keys.get(asked["Key"])
            if asked["Verb"] == "check-session" and (entry is None or entry.get("Session") != asked["Session"]):
                errors.append({"OpIndex": number, "What": "failed session check"})
            if asked["Verb"] == "cas" and (entry["ModifyIndex"] if entry else 0) != asked["Index"]:
                errors.append({"OpIndex": number, "What": "failed to set key, index is stale"})
        if errors:
            return 409, {"Results": None, "Errors": errors}
        results = []
        for operation in operations:
            asked = operation["KV"]
            if asked["Verb"] == "cas":
                self.write(asked["Key"], asked["Value"])
            results.append({"KV": dict(self.entry(asked["Key"]), Value="")})
        return 200, {"Results": results, "Errors": None}
