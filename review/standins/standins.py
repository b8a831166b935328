"""Stand-ins for the platform's store, for targets and for clients, and the start of daemons.

They follow PROTOCOL.md and DEPLOY.md of the platform's pages and need only Python's own library.
All addresses are loopback addresses with free ports.
"""
import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
EDGE = os.path.join("target", "release", "balsam-edge")
ATTEMPT, DEADLINE = "X-Balsamswitch-Attempt-Id", "X-Balsamswitch-Deadline-Ms"
EXPECT, INSTANCE = "X-Balsamswitch-Expect-Instance", "X-Balsamswitch-Instance-Id"
SIGNATURE, NOT_RUN = "X-Balsamswitch-Response-Signature", "X-Balsamswitch-Not-Executed"
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self("trouble" if TROUBLE else "no trouble")

    def __call__(self, *words):
        line = f"{time.monotonic() - START:8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


def free_port():
    """Returns a port of 127.0.0.1 that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Head:
    """The head of a message."""

    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, default=None):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Reads a head; returns None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0], fields)


async def read_body(reader, head):
    """Reads a body with a length, in chunks, or without either none."""
    if head.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(head.get("content-length", "0")))


def response(status, fields=(), body=b""):
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Error')}"] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def close(writer):
    writer.close()
    try:
        await writer.wait_closed()
    except (ConnectionError, OSError):
        pass


class Store:
    """The platform's store: rows with versions, conditional writes, and a feed of changes."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changed = asyncio.Condition()
        self.started = time.monotonic()

    async def open(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=4 << 20)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def put(self, table, key, value):
        """Writes a row as the operator or a target does; the return is the acknowledgement."""
        await self.apply([((table, "", key), value)])

    async def apply(self, writes):
        async with self.changed:
            self.version += 1
            for row, value in writes:
                raw = value
                if value is not None and not isinstance(value, str):
                    raw = base64.b64encode(json.dumps(value).encode()).decode()
                self.rows[row] = (self.version, raw)
            self.changed.notify_all()

    def shown(self, row):
        version, value = self.rows[row]
        shown = {"table": row[0], "part": row[1], "key": row[2], "ver": version}
        shown.update({"deleted": True} if value is None else {"value": value})
        return shown

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                _, target, _ = head.first.split(" ", 2)
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = await self.call(path, fields, body)
                answer.update(ver=self.version, now_s=round(time.monotonic() - self.started, 3))
                fields = [("Content-Type", "application/json")]
                writer.write(response(status, fields, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            await close(writer)

    async def call(self, path, fields, body):
        await asyncio.sleep(0.004)
        if path == "/v1/rows-tx":
            wanted = json.loads(body)
            key = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
            stale = []
            for entry in wanted.get("expected_rev", []):
                version, value = self.rows.get(key(entry), (0, None))
                if (version if value is not None else 0) != entry["ver"]:
                    stale.append(entry)
            if stale:
                rows = [self.shown(key(e)) for e in stale if self.rows.get(key(e), (0, None))[1]]
                return 412, {"rows": rows}
            writes = [(key(entry), entry["value"]) for entry in wanted.get("writes", [])]
            writes += [(key(entry), None) for entry in wanted.get("remove", [])]
            await self.apply(writes)
            return 200, {}
        if path == "/v1/rows-get":
            chosen = sorted(
                row for row, (_, value) in self.rows.items()
                if row[0] == fields["table"] and value is not None
                and row[2] >= fields.get("from", "")
                and ("target" not in fields or row[2] < fields["target"])
            )
            limit = int(fields.get("limit", 500))
            rows = [self.shown(row) for row in chosen[:limit]]
            return 200, {"rows": rows, "has_more": len(chosen) > limit}
        if path == "/v1/rows-feed":
            until = time.monotonic() + int(fields["wait_ms"]) / 1000
            after = int(fields["after"])
            while True:
                new = [
                    row for row, (version, _) in self.rows.items()
                    if row[0] == fields["table"] and version > after
                ]
                left = until - time.monotonic()
                if new or left <= 0:
                    new.sort(key=lambda row: self.rows[row][0])
                    return 200, {"rows": [self.shown(row) for row in new]}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except (TimeoutError, asyncio.TimeoutError):
                        pass
        return 404, {}


class Target:
    """A target: it registers itself, runs requests after a while, and answers with their ids."""

    def __init__(self, store, record, name, service, work_s=0.1, slots=16, born=None):
        self.store, self.record = store, record
        self.name, self.service = name, service
        self.work_s, self.slots = work_s, slots
        self.born = born or int(time.time() * 1000)
        self.begun, self.ended = {}, {}
        self.address = None
        self.writers = set()
        self.is_up = True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 17)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await self.report("ready")

    async def report(self, state):
        entry = {
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "config_version": "v1", "zone": "zone-a",
                     "slots": self.slots},
            "status": {"state": state, "seq": 1, "warmup_left_s": 0},
        }
        await self.store.put("servers", self.name, entry)
        self.record("target", self.name, "reported", state)

    async def serve(self, reader, writer):
        """Answers the requests of one connection in turn.

        An answer that `second_answer` spoils is sent again, or a part of it, at the point where the
        next answer on the connection is expected.
        """
        again = b""
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if again:
                    writer.write(again)
                answer = await self.answer(head, body)
                writer.write(answer)
                await writer.drain()
                again = self.second_answer(head, answer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            await close(writer)

    def second_answer(self, _head, _answer):
        """Returns the bytes that are sent again, none at a sound target."""
        return b""

    async def end(self):
        """Ends the target: it takes no connections and closes those that it has."""
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def answer(self, head, body):
        expected = head.get(EXPECT)
        if expected not in (None, self.name):
            return response(421, [(INSTANCE, self.name)])
        if head.first.startswith("GET /health"):
            return response(200, [(INSTANCE, self.name)])
        attempt = head.get(ATTEMPT)
        self.begun[attempt] = time.monotonic()
        self.record("target", self.name, "runs", attempt, f"({len(body)} bytes of body)")
        await asyncio.sleep(self.work_s)
        self.ended[attempt] = time.monotonic()
        self.record("target", self.name, "ran", attempt)
        fields = [(ATTEMPT, attempt), (SIGNATURE, f"sig.{self.name}.{attempt}")]
        return response(200, fields, b"done " + attempt.encode())


class KeyedTarget(Target):
    """A target of a service that is divided by key. It runs a request only while it holds its key."""

    KEYS = 65536

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.fence = [0] * self.KEYS
        self.held_until = [0.0] * self.KEYS
        # When the hold of a key would run out if it were not released.
        self.granted_until = [0.0] * self.KEYS
        self.running = {}
        self.on_grant = None

    async def answer(self, head, body):
        if head.get(EXPECT) not in (None, self.name):
            return response(421, [(INSTANCE, self.name)])
        path = head.first.split(" ")[1]
        if path == "/v1/grant":
            return self.take_grant(json.loads(body))
        if path == "/v1/release":
            return await self.take_release(json.loads(body))
        key = head.get("X-Balsamswitch-Shard-Key")
        if key is None:
            return await super().answer(head, body)
        key = int(key)
        if self.held_until[key] <= time.monotonic():
            return response(421, [(NOT_RUN, "1"), (INSTANCE, self.name)])
        self.running[key] = self.running.get(key, 0) + 1
        try:
            return await super().answer(head, body)
        finally:
            self.running[key] -= 1
            if not self.running[key]:
                del self.running[key]

    def take_grant(self, order):
        first, last, fence = order["from"], order["target"], order["fence"]
        if max(self.fence[first:last + 1]) > fence:
            self.record("target", self.name, f"refuses grant {first}-{last} fence {fence}")
            return response(409)
        count, now = last + 1 - first, time.monotonic()
        is_new = min(self.held_until[first:last + 1]) <= now
        until = now + order["hold_s"]
        self.fence[first:last + 1] = [fence] * count
        self.held_until[first:last + 1] = [until] * count
        self.granted_until[first:last + 1] = [until] * count
        if is_new:
            self.record("target", self.name, f"takes {first}-{last} fence {fence}")
        if self.on_grant:
            self.on_grant(self, first, last, fence)
        return response(200)

    async def take_release(self, order):
        first, last, fence = order["from"], order["target"], order["fence"]
        count = last + 1 - first
        self.fence[first:last + 1] = [max(fence, old) for old in self.fence[first:last + 1]]
        self.held_until[first:last + 1] = [0.0] * count
        self.record("target", self.name, f"gets release {first}-{last} fence {fence}")
        while any(first <= key <= last for key in self.running):
            await asyncio.sleep(0.005)
        self.record("target", self.name, f"has released {first}-{last} fence {fence}")
        return response(200, [("X-Balsamswitch-Handover", f"h{fence}")])


class Daemon:
    """A process of the deploy file's role, with settings that follow deploy/settings.json.in."""

    def __init__(self, folder, name, store):
        ports = [free_port() for _ in range(4)]
        addresses = ["127.0.0.1:%d" % port for port in ports]
        self.name = name
        self.callers, self.readiness = addresses[0], addresses[1]
        settings = {
            "daemon": name, "zone": "zone-a",
            "listen": {"callers": addresses[0], "readiness": addresses[1],
                       "peers": addresses[2], "metrics": addresses[3]},
            "machine": {"cpu_share": 0.2, "cpu_speed": 1, "link_mbps": 1000.0},
            "peer_credential": "balsamswitch-peers",
            "operator_credential": "balsamswitch-operators",
            "store": store, "row_max_bytes": 65536,
            "bounds": {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10,
                       "budget_slack": 60, "hold_max_s": 10},
            "first_start": True, "log_level": "info",
        }
        self.settings = os.path.join(folder, name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.start()

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["BALSAMSWITCH_CONFIG"] = self.settings
        self.process = subprocess.Popen(
            [EDGE], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
            stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def memory_bytes(self):
        """Returns the resident memory, or 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    async def is_ready(self):
        try:
            answer = await ask(self.readiness, b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return answer is not None and answer[0] == 200
        except OSError:
            return False

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise NotRun(f"{self.name} did not become ready")


class NotRun(Exception):
    """The case could not run."""


class Connection:
    """A client's connection, for one request at a time."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address):
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=1 << 20))

    async def answer(self):
        """Returns status, head and body, or None if the connection ended without all of them."""
        try:
            head = await read_head(self.reader)
            if head is None:
                return None
            body = await read_body(self.reader, head)
            return int(head.first.split()[1]), head, body
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    async def request(self, raw):
        try:
            self.writer.write(raw)
            await self.writer.drain()
        except ConnectionError:
            return None
        return await self.answer()

    async def close(self):
        await close(self.writer)


async def ask(address, raw):
    connection = await Connection.open(address)
    try:
        return await connection.request(raw)
    finally:
        await connection.close()


def request(method, host, path, attempt, deadline_ms, body=None, fields=()):
    """Returns the bytes of a client's request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"{ATTEMPT}: {attempt}",
             f"{DEADLINE}: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def run(case, folder):
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    daemons = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("stopped"))

    async def play(temporary):
        try:
            return await case(record, temporary, daemons)
        finally:
            for daemon in daemons:
                daemon.stop()

    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                is_broken, verdict = asyncio.run(play(temporary))
            finally:
                if os.environ.get("KEEP_LOGS"):
                    for daemon in daemons:
                        with open(os.path.join(temporary, daemon.name + ".log"), "rb") as log:
                            sys.stderr.buffer.write(log.read())
    except (Exception, SystemExit) as reason:
        record("not run:", type(reason).__name__, reason)
        print("not run:", type(reason).__name__, reason)
        return 2
    record("result:", "broken:" if is_broken else "held:", verdict)
    print("broken:" if is_broken else "held:", verdict)
    return 1 if is_broken else 0
