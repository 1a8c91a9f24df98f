"""A small stand-in for Consul's HTTP API, written from its public documentation: sessions, the KV store with
`acquire`, consistent reads and `recurse`, transactions of `check-session` and `cas`, and blocking health queries
for one service. It never fails, never loses data and answers at once."""

import base64
import json
import threading
import time
import uuid
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlparse


class Consul:
    def __init__(self, record, instances):
        self.record = record
        self.lock = threading.Lock()
        self.index = 10
        self.sessions = set()
        self.kv = {}  # key -> [value bytes, modify index, session or None]
        self.instances = instances  # [(id, "127.0.0.1", port)]
        self.meta = {}  # metadata of services, by id
        self.health_index = 5
        consul = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def reply(self, status, body, index=None):
                data = body if isinstance(body, bytes) else json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                if index is not None:
                    self.send_header("X-Consul-Index", str(index))
                    self.send_header("X-Consul-KnownLeader", "true")
                    self.send_header("X-Consul-LastContact", "0")
                self.end_headers()
                self.wfile.write(data)

            def body(self):
                return self.rfile.read(int(self.headers.get("Content-Length") or 0))

            def do_GET(self):
                consul.get(self)

            def do_PUT(self):
                consul.put(self)

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, address):
                pass  # the caller has left

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    # Reads

    def get(self, call):
        url = urlparse(call.path)
        query = parse_qs(url.query, keep_blank_values=True)
        if url.path.startswith("/v1/kv/"):
            return self.read(call, unquote(url.path[len("/v1/kv/"):]), query)
        if url.path.startswith("/v1/health/service/"):
            return self.health(call, query)
        return call.reply(404, b"")

    def entry(self, key):
        value, index, session = self.kv[key]
        entry = {"Key": key, "Value": base64.b64encode(value).decode(), "Flags": 0, "LockIndex": 0,
                 "CreateIndex": index, "ModifyIndex": index}
        if session:
            entry["Session"] = session
        return entry

    def read(self, call, key, query):
        with self.lock:
            if "recurse" in query:
                keys = sorted(k for k in self.kv if k.startswith(key))
                index = self.index
            else:
                keys = [key] if key in self.kv else []
                index = self.kv[key][1] if keys else self.index
            entries = [self.entry(k) for k in keys]
        call.reply(200 if entries else 404, entries if entries else b"", index)

    def health(self, call, query):
        wait = query.get("wait", ["5s"])[0]
        wait = float(wait[:-2]) / 1000 if wait.endswith("ms") else float(wait.rstrip("s"))
        if query.get("index", ["0"])[0] == str(self.health_index):
            time.sleep(min(wait, 10))
        entries = [
            {"Node": {"Node": "node-1", "Address": "127.0.0.1"},
             "Service": {"ID": identity, "Service": "loan-server", "Address": address, "Port": port, "Tags": [],
                         "Meta": self.meta.get(identity, {}), "Weights": {"Passing": 1, "Warning": 1}, "CreateIndex": 4, "ModifyIndex": 4},
             "Checks": [{"CheckID": "service:" + identity, "Status": "passing", "ServiceID": identity}]}
            for identity, address, port in self.instances]
        call.reply(200, entries, self.health_index)

    # Writes

    def put(self, call):
        url = urlparse(call.path)
        query = parse_qs(url.query, keep_blank_values=True)
        body = call.body()
        if url.path == "/v1/session/create":
            session = str(uuid.uuid4())
            with self.lock:
                self.sessions.add(session)
            return call.reply(200, {"ID": session})
        if url.path.startswith("/v1/session/renew/"):
            session = url.path.rsplit("/", 1)[1]
            with self.lock:
                known = session in self.sessions
            return call.reply(200, [{"ID": session, "TTL": "10s"}]) if known else call.reply(404, b"")
        if url.path.startswith("/v1/session/destroy/"):
            session = url.path.rsplit("/", 1)[1]
            with self.lock:
                self.sessions.discard(session)
                for key in [k for k, entry in self.kv.items() if entry[2] == session]:
                    del self.kv[key]
            return call.reply(200, True)
        if url.path.startswith("/v1/kv/") and "acquire" in query:
            return self.acquire(call, unquote(url.path[len("/v1/kv/"):]), query["acquire"][0], body)
        if url.path == "/v1/txn":
            return self.transaction(call, json.loads(body))
        return call.reply(404, b"")

    def acquire(self, call, key, session, value):
        with self.lock:
            holder = self.kv[key][2] if key in self.kv else None
            granted = session in self.sessions and holder in (None, session)
            if granted:
                self.index += 1
                self.kv[key] = [value, self.index, session]
        call.reply(200, granted)

    def transaction(self, call, operations):
        with self.lock:
            errors = []
            for number, operation in enumerate(operations):
                kv = operation["KV"]
                held = self.kv.get(kv["Key"])
                if kv["Verb"] == "check-session":
                    if held is None or held[2] != kv["Session"] or kv["Session"] not in self.sessions:
                        errors.append({"OpIndex": number, "What": "failed session check"})
                elif kv["Verb"] == "cas":
                    if (held[1] if held else 0) != kv["Index"]:
                        errors.append({"OpIndex": number, "What": "failed compare-and-set"})
                else:
                    errors.append({"OpIndex": number, "What": "unknown verb"})
            if errors:
                return call.reply(409, {"Results": None, "Errors": errors})
            self.index += 1
            results = []
            for operation in operations:
                kv = operation["KV"]
                if kv["Verb"] == "cas":
                    self.kv[kv["Key"]] = [base64.b64decode(kv["Value"]), self.index, None]
                    self.record("store", key=kv["Key"], index=self.index,
                                value=base64.b64decode(kv["Value"]).decode())
                results.append({"KV": {**self.entry(kv["Key"]), "Value": None}})
        call.reply(200, {"Results": results, "Errors": None})
