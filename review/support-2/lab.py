"""Stand-ins for the platform, runners and clients, and the processes of one small deployment."""
import base64, json, os, shutil, signal, socket, socketserver, subprocess, tempfile, threading, time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

T0 = time.monotonic()
LOCK = threading.RLock()


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, text):
        with LOCK:
            self.file.write(f"{time.monotonic() - T0:9.3f} {text}\n")
            self.file.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            data = b""
            while True:
                size = int(self.rfile.readline().split(b";")[0], 16)
                data += self.rfile.read(size)
                self.rfile.readline()
                if size == 0:
                    return data
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, value):
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Store:
    """The platform's store (form table) and the calls of duties."""

    def __init__(self, ip, record):
        self.rows, self.version, self.record = {}, 0, record
        self.changed = threading.Condition(LOCK)
        self.duties = []
        self.fail = None
        store = self

        class H(Handler):
            def do_GET(self):
                store.get(self)

            def do_POST(self):
                store.post(self)

        self.server = Server((ip, 0), H)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def info(self):
        return {"schema_version": self.version, "now_ms": int((time.monotonic() - T0) * 1000) + 1000000}

    def put(self, table, key, value, part=""):
        with LOCK:
            self.version += 1
            self.rows[(table, part, key)] = [self.version, value]
            self.changed.notify_all()
            return self.version

    def drop(self, table, key):
        with LOCK:
            if self.value(table, key) is not None:
                self.version += 1
                self.rows[(table, "", key)] = [self.version, None]
                self.changed.notify_all()

    def value(self, table, key):
        with LOCK:
            row = self.rows.get((table, "", key))
            return row[1] if row else None

    def put_json(self, table, key, value, part=""):
        return self.put(table, key, base64.b64encode(json.dumps(value).encode()).decode(), part)

    def row_json(self, table, part, key, row):
        out = {"table": table, "part": part, "key": key, "schema_version": row[0]}
        if row[1] is None:
            out["deleted"] = True
        else:
            out["value"] = row[1]
        return out

    def get(self, h):
        url = urlsplit(h.path)
        q = {k: v[0] for k, v in parse_qs(url.query).items()}
        if self.fail and self.fail(h, q):
            return
        if url.path == "/bamboomount/rows-get":
            with LOCK:
                rows = [self.row_json(*name, r) for name, r in sorted(self.rows.items())
                        if name[:2] == (q["table"], q.get("part", "")) and r[1] is not None
                        and name[2] >= q.get("from", "")]
                out = {"rows": rows, "has_more": False, **self.info()}
            h.reply(200, out)
        elif url.path == "/bamboomount/rows-feed":
            end = time.monotonic() + int(q.get("wait_ms", 0)) / 1000
            with self.changed:
                while True:
                    rows = [self.row_json(*name, r) for name, r in self.rows.items()
                            if name[0] == q["table"] and r[0] > int(q["after"])]
                    left = end - time.monotonic()
                    if rows or left <= 0:
                        break
                    self.changed.wait(left)
                rows.sort(key=lambda r: r["schema_version"])
                out = {"rows": rows, **self.info()}
            h.reply(200, out)
        else:
            h.reply(404, {})

    def post(self, h):
        body = json.loads(h.body() or b"{}")
        if self.fail and self.fail(h, body):
            return
        if h.path in ("/usage", "/scaling"):
            with LOCK:
                self.duties.append((time.monotonic() - T0, h.headers["X-Bamboomount-Duty-Holder"],
                                    int(h.headers["X-Bamboomount-Fencing-Token"]), h.path, body))
            self.record(f"duty {h.path} holder {h.headers['X-Bamboomount-Duty-Holder']} epoch "
                        f"{h.headers['X-Bamboomount-Fencing-Token']} {json.dumps(body)}")
            h.reply(200, {})
            return
        with LOCK:
            bad = [e for e in body.get("expected_revision", []) if self.version_of(e) != e["schema_version"]]
            if not bad:
                self.version += 1
                for w in body.get("writes", []):
                    self.rows[self.name_of(w)] = [self.version, w["value"]]
                for w in body.get("remove", []):
                    if self.version_of(w):
                        self.rows[self.name_of(w)] = [self.version, None]
                self.changed.notify_all()
            out = self.info()
            if bad:
                out["rows"] = [self.row_json(*self.name_of(e), self.rows[self.name_of(e)])
                               for e in bad if self.version_of(e)]
        h.reply(412 if bad else 200, out)

    @staticmethod
    def name_of(entry):
        return entry["table"], entry.get("part", ""), entry["key"]

    def version_of(self, entry):
        row = self.rows.get(self.name_of(entry))
        return row[0] if row and row[1] is not None else 0


class Runner:
    """A sound runner. `behave(handler, runner, body)` may replace the answer."""

    def __init__(self, ip, store, record, service, name, zone="z-a", slots=64, **row):
        self.id, self.record, self.service, self.store = name, record, service, store
        self.ran, self.arrived, self.gone = [], [], []
        self.behave = None
        self.work_s, self.events, self.gap_s = 0.02, 5, 0.1
        runner = self

        class H(Handler):
            def handle_any(self):
                try:
                    runner.handle(self)
                except (BrokenPipeError, ConnectionResetError):
                    self.close_connection = True

            do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = do_OPTIONS = do_HEAD = handle_any

        self.server = Server((ip, 0), H)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.row = {"service": service, "address": self.address, "zone": zone, "version": "1", "slots": slots,
                    "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": int(time.time() * 1000), **row}
        store.put_json("servers", name, self.row)

    def handle(self, h):
        rid = h.headers.get("X-Bamboomount-Request-Id", "")
        expected = h.headers.get("X-Bamboomount-Expected-Instance")
        body = h.body()
        with LOCK:
            self.arrived.append((time.monotonic(), rid, h.command, h.path, dict(h.headers), body))
        if expected and expected != self.id:
            self.record(f"runner {self.id}: {rid} is for {expected}, 421")
            self.answer(h, rid, 421, b"", not_run=True)
            return
        if self.behave and self.behave(h, self, body):
            return
        self.run(h, rid)

    def run(self, h, rid):
        with LOCK:
            self.ran.append((time.monotonic(), rid, h.path))
        self.record(f"runner {self.id}: runs {rid} {h.path}")
        if "stream" in h.path:
            self.stream(h, rid)
            return
        time.sleep(self.work_s)
        self.answer(h, rid, 200, f"answer to {rid}".encode())

    def answer(self, h, rid, status, data, not_run=False, extra=()):
        h.send_response(status)
        h.send_header("X-Bamboomount-Request-Id", rid)
        if not_run:
            h.send_header("X-Bamboomount-Not-Executed", "1")
        else:
            h.send_header("X-Bamboomount-Response-Seal", f"{self.id}.{rid}")
        for k, v in extra:
            h.send_header(k, v)
        h.send_header("Keep-Alive", "timeout=5")
        h.send_header("Content-Length", str(len(data)))
        h.end_headers()
        if h.command != "HEAD":
            h.wfile.write(data)

    def stream(self, h, rid):
        start = int(h.headers.get("Last-Event-Id", "0") or 0)
        h.send_response(200)
        h.send_header("X-Bamboomount-Request-Id", rid)
        h.send_header("X-Bamboomount-Response-Seal", f"{self.id}.{rid}")
        h.send_header("Content-Type", "text/event-stream")
        h.send_header("Transfer-Encoding", "chunked")
        h.end_headers()
        for i in range(start + 1, self.events + 1):
            time.sleep(self.gap_s)
            e = f"id: {i}\ndata: {rid}/{i}\n\n".encode()
            h.wfile.write(b"%x\r\n%s\r\n" % (len(e), e))
            h.wfile.flush()
        h.wfile.write(b"0\r\n\r\n")


class Entry:
    def __init__(self, lab, ip, name, **settings):
        self.lab, self.name, self.ip = lab, name, ip
        p = [free_port(ip) for _ in range(5)]
        self.caller, self.ready, self.directory = ((ip, q) for q in p[:3])
        self.settings = {
            "instance": name, "zone": settings.pop("zone", "z-a"), "region": "r", "zones": {"z-a": "r", "z-b": "r"},
            "capacity": 0.25, "memory_mb": 110, "max_open_files": 4100,
            "caller_address": f"{ip}:{p[0]}", "readiness_address": f"{ip}:{p[1]}",
            "directory_address": f"{ip}:{p[2]}", "peer_address": f"{ip}:{p[3]}",
            "store_address": lab.store.address, "orders_address": lab.store.address,
            "duties": ["usage_reporting", "scaling"], "config_deadline_ms": 2000, "leaving_deadline_ms": 2000,
            "key_withdrawal_deadline_ms": 5000, "refuse_keys_when_stale": True, "fleet_admission": True,
            "stop_deadline_s": 8, "lease_ms": 3000, "usage_window_s": 5, "max_address_lifetime_s": 5,
            "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10, **settings}
        self.path = os.path.join(lab.folder, name + ".json")
        self.write_settings()
        self.start()

    def write_settings(self):
        with open(self.path + ".new", "w") as f:
            json.dump(self.settings, f)
        os.rename(self.path + ".new", self.path)

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "LANG": "C", "BAMBOOMOUNT_SETTINGS": self.path}
        self.log = open(os.path.join(self.lab.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen([self.lab.program], env=env, cwd=self.lab.root, stdout=self.log, stderr=self.log)
        self.lab.processes.append(self.process)

    def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                if call(self.ready, "GET", "/bamboomount/readiness", timeout=1)[0] == 200:
                    return True
            except OSError:
                pass
            time.sleep(0.05)
        return False

    def signal(self, number):
        self.process.send_signal(number)


class Lab:
    def __init__(self, root, record, program="target/bin/bamboomount_entry"):
        self.root, self.record = root, record
        self.program = os.path.join(root, program)
        self.folder = tempfile.mkdtemp()
        self.processes = []
        self.store = Store("127.0.0.1", record)

    def close(self):
        for p in self.processes:
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
            p.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version=1, tenants=None, routes=(), services=()):
    return {"version": version, "routes": list(routes), "services": list(services),
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            **({"tenants": tenants} if tenants is not None else {})}


def route(prefix, service, kind="unsafe", **more):
    return {"name": prefix.strip("/"), "host": "h.example", "prefix": prefix, "service": service, "kind": kind,
            "attempts": 1, "timeout_ms": 4000, "target_latency_ms": 300, "priority": 1, **more}


def read_head(f):
    line = f.readline()
    if not line:
        return None
    status = int(line.split()[1])
    headers = []
    while True:
        line = f.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        k, v = line.decode().rstrip("\r\n").split(":", 1)
        headers.append((k.lower(), v.strip()))
    return status, headers


def read_answer(f, head=False):
    """Returns status, headers, body, complete; None if the connection ended first."""
    h = read_head(f)
    if h is None:
        return None
    status, headers = h
    d = dict(headers)
    if head:
        return status, d, b"", True
    if d.get("transfer-encoding") == "chunked":
        data = b""
        while True:
            line = f.readline()
            if not line.strip():
                return status, d, data, False
            size = int(line.split(b";")[0], 16)
            part = f.read(size + 2)
            if len(part) < size + 2:
                return status, d, data + part, False
            if size == 0:
                return status, d, data, True
            data += part[:-2]
    n = int(d.get("content-length", 0))
    data = f.read(n)
    return status, d, data, len(data) == n


def call(address, method, path, headers=(), body=b"", timeout=10, host="h.example"):
    with socket.create_connection(address, timeout=timeout) as s:
        s.settimeout(timeout)
        s.sendall(encode(method, path, headers, body, host))
        r = read_answer(s.makefile("rb"), method == "HEAD")
        if r is None:
            raise ConnectionError("closed")
        return r


def encode(method, path, headers=(), body=b"", host="h.example"):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"] + [f"{k}: {v}" for k, v in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request_headers(rid, deadline=4000, key=None, **more):
    h = [("X-Bamboomount-Request-Id", rid), ("X-Bamboomount-Deadline-Milliseconds", str(deadline))]
    if key:
        h.append(("X-Api-Key", key))
    return h + [(k.replace("_", "-"), v) for k, v in more.items()]
