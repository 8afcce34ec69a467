"""Stand-ins for the platform's store, its API and backend servers, and a small
fleet of entry processes, for the scripts of the review. One event loop, loopback
addresses only, free ports, a temporary folder."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/bin/bamboomount_entry"  # the `run` line of the deploy file


HEARTBEAT_S = 1.2
KEY = "n2ctnfzs989anu6wsjnb"
# The services of the site, with their engine, and what their servers say of themselves besides.
SERVICES = {
    "llm": {"slots": 64, "entry": {"stage": "combined", "models": [{"name": "m", "version": 1, "adapters": []}]},
            "config": {"max_connections": 370, "engine": {
                "slots": 64, "kv_capacity_tokens": 368659, "kv_token_bytes": 35136, "link_mbps": 1100000.0, "moves": True, "backups": True,
                "stride": 6, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}}},
    "app": {"slots": 6, "entry": {}, "config": {"max_connections": 110}},
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


async def read_head(reader):
    """Returns the start line and the fields (names in lower case) of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_message(reader):
    line, fields = await read_head(reader)
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2] if size else b""
            if not size:
                await reader.readline()
                break
    elif int(fields.get("content-length", 0)):
        body = await reader.readexactly(int(fields["content-length"]))
    return line, fields, body


def reply(status, body=b"", fields=()):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    for name, value in fields:
        text += f"{name}: {value}\r\n"
    return text.encode() + b"\r\n" + body


class Server:
    """An HTTP/1.1 server; `answer(line, fields, body, writer)` writes a reply."""

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2**22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields, body = await read_message(reader)
                if await self.answer(line, fields, body, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()


class Store(Server):
    """The platform's store: rows-tx, rows-get and rows-feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, key) -> (value or None if deleted, version)
        self.version = 0
        self.changed = asyncio.Event()
        self.clock = time.monotonic()

    def put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, table, key, value):
        self.put(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def list(self, table, first=0, deleted=False):
        found = []
        for (name, key), (value, version) in self.rows.items():
            if name != table or version <= first or (value is None and not deleted):
                continue
            row = {"table": table, "part": "", "key": key, "schema_version": version}
            row.update({"deleted": True} if value is None else {"value": value})
            found.append(row)
        return found

    def version_of(self, row):
        value, version = self.rows.get((row["table"], row["key"]), (None, 0))
        return version if value is not None else 0

    def json_of(self, table, key):
        value, _ = self.rows.get((table, key), (None, 0))
        return None if value is None else json.loads(base64.b64decode(value))

    def body(self, **fields):
        fields.update(schema_version=self.version, now_ms=int((time.monotonic() - self.clock) * 1000) + 1000)
        return json.dumps(fields).encode()

    async def answer(self, line, fields, body, writer):
        method, target, _ = line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        writer.write(await self.call(url.path, query, body))

    async def call(self, path, query, body):
        if path == "/bamboomount/rows-get":
            rows = sorted(self.list(query["table"]), key=lambda r: r["key"])
            rows = [r for r in rows if r["key"] >= query.get("from", "")]
            return reply(200, self.body(rows=rows, has_more=False))
        if path == "/bamboomount/rows-feed":
            after, end = int(query["after"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while not self.list(query["table"], after, True) and time.monotonic() < end:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
            rows = sorted(self.list(query["table"], after, True), key=lambda r: r["schema_version"])
            return reply(200, self.body(rows=rows))
        if path == "/bamboomount/rows-tx":
            await asyncio.sleep(0.003)
            return self.commit(json.loads(body))
        return reply(404)

    def commit(self, tx):
        expected = tx.get("expected_revision", [])
        if any(self.version_of(row) != row["schema_version"] for row in expected):
            names = {(row["table"], row["key"]) for row in expected}
            current = [row for table in {name for name, _ in names} for row in self.list(table) if (table, row["key"]) in names]
            return reply(412, self.body(rows=current))
        self.version += 1
        for row in tx.get("writes", []):
            self.rows[row["table"], row["key"]] = (row["value"], self.version)
        for row in tx.get("remove", []):
            if (row["table"], row["key"]) in self.rows:
                self.rows[row["table"], row["key"]] = (None, self.version)
        self.changed.set()
        self.changed = asyncio.Event()
        return reply(200, self.body())


class Api(Server):
    """The platform's API: usage reports and orders are accepted and recorded."""

    def __init__(self, record):
        self.record = record
        self.calls = []

    async def answer(self, line, fields, body, writer):
        call = (line.split(" ")[1], fields.get("x-bamboomount-duty-holder"),
                int(fields.get("x-bamboomount-fencing-token", 0)), json.loads(body))
        self.calls.append((time.monotonic(), *call))
        self.record(f"api: {call}")
        writer.write(reply(200))


class Backend(Server):
    """A backend server of one service. Runs each request that names it, as many at
    once as it has slots, and answers with `respond`."""

    QUEUE = 24

    def __init__(self, record, store, name, service, respond, zone="zone-a"):
        self.record, self.store, self.id, self.service = record, store, name, service
        self.respond, self.zone, self.sequence = respond, zone, 0
        self.born = int(time.time() * 1000)
        self.slots = SERVICES[service]["slots"]
        self.places, self.taken = asyncio.Semaphore(self.slots), 0
        self.runs = []

    def report_status(self):
        """The row changes when more than `sequence` changes."""
        self.sequence += 1
        row = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
               "state": "ready", "cold_remaining_ms": 0, "born": self.born, **SERVICES[self.service]["entry"], "sequence": self.sequence}
        listed = self.store.json_of("servers", self.id)
        if listed is None or {**listed, "sequence": self.sequence} != row:
            self.store.put_json("servers", self.id, row)

    async def answer(self, line, fields, body, writer):
        request = fields.get("x-bamboomount-request-id", "")
        if line.startswith("GET /health "):
            writer.write(reply(200, fields=[("X-Bamboomount-Instance-Id", self.id)]))
            return None
        if not request:
            writer.write(reply(400, fields=[("X-Bamboomount-Not-Executed", "1")]))
            return None
        echo = ("X-Bamboomount-Request-Id", request)
        if fields.get("x-bamboomount-expected-instance", self.id) != self.id:
            writer.write(reply(421, fields=[echo, ("X-Bamboomount-Instance-Id", self.id)]))
            return None
        if self.taken >= self.slots + self.QUEUE:
            writer.write(reply(503, fields=[echo, ("X-Bamboomount-Not-Executed", "1")]))
            return None
        self.taken += 1
        try:
            async with self.places:
                self.record(f"{self.id}: runs {request} {line}" + (f" after {fields['last-event-id'][:40]}" if "last-event-id" in fields else ""))
                self.runs.append((time.monotonic(), request, fields))
                return await self.respond(self, request, fields, writer)
        finally:
            self.taken -= 1


def sealed(request, body, status=200, fields=()):
    return reply(status, body, [("X-Bamboomount-Request-Id", request),
                                ("X-Bamboomount-Response-Seal", "1.2." + request), *fields])


class Entry:
    """One entry process."""

    def __init__(self, fleet, name, zone):
        self.fleet, self.name = fleet, name
        ports = free_ports(5)
        self.caller, self.ready, self.directory, self.peer, metrics = [f"127.0.0.1:{p}" for p in ports]
        self.settings = {
            "instance": name, "zone": zone, "region": "region", "zones": {"zone-a": "region", "zone-b": "region"},
            "capacity": 0.25, "memory_mb": 110, "max_open_files": 4100,
            "caller_address": self.caller, "readiness_address": self.ready, "directory_address": self.directory,
            "peer_address": self.peer, "metrics_address": metrics,
            "store_address": fleet.store.address, "orders_address": fleet.api.address,
            "duties": ["usage_reporting", "scaling"], "config_deadline_ms": 2000, "leaving_deadline_ms": 2000,
            "key_withdrawal_deadline_ms": 5000, "refuse_keys_when_stale": True, "fleet_admission": True,
            "stop_deadline_s": 8, "lease_ms": 3000, "usage_window_s": 5, "max_address_lifetime_s": 5,
            "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10}
        self.process = None

    def start(self):
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        self.log = open(self.fleet.folder / f"{self.name}.log", "a")
        self.process = subprocess.Popen([str(PROGRAM)], cwd=ROOT, env={"BAMBOOMOUNT_SETTINGS": str(path), "PATH": "/usr/bin:/bin"},
                                        stdout=self.log, stderr=self.log)
        self.fleet.record(f"{self.name}: started")

    @property
    def exit_code(self):
        return self.process.poll()

    async def wait_ready(self, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await get(self.ready, "/bamboomount/readiness"))[0] == 200:
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")


def anonymous_bytes(entry):
    """The memory of the process without mapped files; 0 once it has ended."""
    with contextlib.suppress(OSError):
        for line in open(f"/proc/{entry.process.pid}/status"):
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024
    return 0


async def get(address, target):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        line, fields, body = await read_message(reader)
        return int(line.split(" ")[1]), fields, body
    finally:
        writer.close()


class KeptConnection:
    """A client that sends one request after the other on one connection."""

    def __init__(self, record, entry):
        self.record, self.entry = record, entry

    async def open(self):
        host, port = self.entry.caller.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def call(self, request, path, body=b"{}", deadline=4000):
        """Returns the status, or None if the connection ended without an answer."""
        self.record(f"client: {request} POST {path} to {self.entry.name} on a kept connection")
        try:
            self.writer.write(f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Bamboomount-Request-Id: {request}\r\n"
                              f"X-Bamboomount-Deadline-Milliseconds: {deadline}\r\nX-Api-Key: {KEY}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            line, _, _ = await asyncio.wait_for(read_message(self.reader), deadline / 1000)
            status = int(line.split(" ")[1])
        except asyncio.TimeoutError:
            status = 0
        except (OSError, asyncio.IncompleteReadError):
            status = None
        self.record(f"client: {request} " + ("connection closed without an answer" if status is None else f"gets {status}" if status else "gets nothing in time"))
        return status


class Fleet:
    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.entries, self.backends = [], []
        self.store, self.api = Store(record), Api(record)

    async def start(self, entries, config, backends):
        if not PROGRAM.exists():
            raise CannotRun("the deploy build is missing")
        await self.store.listen()
        await self.api.listen()
        self.store.put_json("op", "config", config)
        for backend in backends:
            await backend.listen()
            backend.report_status()
            self.backends.append(backend)
        self.heartbeat = asyncio.ensure_future(self.report_statuses())
        for i in range(entries):
            self.entries.append(Entry(self, f"entry-{i + 1}", "zone-a" if i % 2 == 0 else "zone-b"))
            self.entries[-1].start()
        for entry in self.entries:
            await entry.wait_ready()
        await asyncio.sleep(4)  # longer than `contact_ms`, so that all instances are in touch

    async def report_statuses(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for backend in self.backends:
                backend.report_status()

    async def enforce_memory(self):
        """Kills a process that exceeds `memory_mb` (of 2^20 bytes), as DEPLOY.md says."""
        while True:
            for entry in self.entries:
                used = anonymous_bytes(entry) / 2**20 if entry.exit_code is None else 0
                if used > entry.settings["memory_mb"]:
                    self.record(f"platform: {entry.name} uses {used:.0f} of {entry.settings['memory_mb']} MB and is killed")
                    entry.process.kill()
                    entry.process.wait()
            await asyncio.sleep(0.02)

    def stop(self):
        for entry in self.entries:
            if entry.process and entry.exit_code is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version=1, routes=None, services=("llm", "app")):
    base = {"host": "h.example", "priority": 2, "attempts": 1, "allow_anonymous": False,
            "sticky_sessions": False, "resume_streams": False}
    return {"version": version,
            "routes": [{**base, **route} for route in routes],
            "services": [{"name": s, "health_check_path": "/health", "protocol": "h1", "tls": False, **SERVICES[s]["config"]} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}]}


LABEL_CHECK = {"name": "label-check", "prefix": "/label/", "kind": "streaming", "service": "llm", "attempts": 2, "resume_streams": True,
               "sticky_sessions": True, "timeout_ms": 3000, "target_latency_ms": 500, "gap_target_ms": 400, "priority": 1}
LABEL_CHECKS_PER_S = 33.8  # on the sheet
LOT_REGISTER = {"name": "lot-register", "prefix": "/lot/", "kind": "unsafe", "service": "app", "timeout_ms": 2000, "target_latency_ms": 300}


def prompt_fields(number):
    """What a request of label-check says of its prompt: parts that requests share, and its own."""
    parts = [f"a{number % 20:02x}:341", f"b{number % 239:03x}:227", f"c{number:05x}:1800"]
    return [("X-Bamboomount-Model", "m"), ("X-Bamboomount-Token-Counts", "2368,24"), ("X-Bamboomount-Prompt-Prefix", ",".join(parts))]


async def call(record, entry, request, path, method="POST", body=b"{}", deadline=4000, fields=(), limit=None):
    """Sends one request on a new connection. Returns (status or None, fields, body, complete)."""
    host, port = entry.caller.split(":")
    record(f"client: {request} {method} {path} to {entry.name}")
    status, head, received, complete = None, {}, b"", False
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=2**22), 1)
        text = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Bamboomount-Request-Id: {request}\r\nX-Bamboomount-Deadline-Milliseconds: {deadline}\r\nX-Api-Key: {KEY}\r\nContent-Length: {len(body)}\r\n"
        text += "".join(f"{n}: {v}\r\n" for n, v in fields)
        writer.write(text.encode() + b"\r\n" + body)

        async def read():
            nonlocal status, head, received, complete
            line, head = await read_head(reader)
            status = int(line.split(" ")[1])
            if "chunked" in head.get("transfer-encoding", ""):
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    piece = await reader.readexactly(size + 2)
                    if not size:
                        complete = True
                        return
                    received += piece[:-2]
            received = await reader.readexactly(int(head.get("content-length", 0)))
            complete = True

        await asyncio.wait_for(read(), limit or deadline / 1000 + 1)
        writer.close()
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        record(f"client: {request} {type(error).__name__}")
    record(f"client: {request} gets {status} {len(received)} bytes {'complete' if complete else 'incomplete'}")
    return status, head, received, complete


def play(folder, case):
    """Plays `case(fleet, trouble)`, which returns whether the rule held, and exits."""
    folder = pathlib.Path(folder).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    fleet = None
    code = 2

    def end(*_):
        raise SystemExit(2)  # through `finally`, which ends the processes

    async def run():
        nonlocal fleet
        fleet = Fleet(record)
        return await asyncio.wait_for(case(fleet, trouble), 100)

    signal.signal(signal.SIGTERM, end)
    try:
        held = asyncio.run(run())
        code = 0 if held else 1
        record("the rule held" if held else "the rule was broken")
    except Exception as error:  # also a fault of the script itself is no broken rule
        record(f"could not run: {type(error).__name__} {error}")
    finally:
        if fleet:
            fleet.stop()
    raise SystemExit(code)
