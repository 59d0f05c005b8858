"""Stand-ins of the platform for the scripts of this review: its store, workers and requesters.

They behave as PROTOCOL.md says; where it is silent, as a sound store, worker or requester does. A
script injects its disruption through the hooks named in each class. All addresses are loopback.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = os.path.join(ROOT, "target", "hawthorndrum-gateway")
HOST = "shop.example"
PAGE_ITEMS = 500  # PROTOCOL.md: about 500 items or 1 MB at most.
PAGE_BYTES = 1 << 20
HISTORY_S = 20
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
GRACE_S = 8
RECOVER_S = 12
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 429: "Too Many Requests",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text, *values):
        line = "%8.3f  %s" % (self.now(), text % values if values else text)
        self.file.write(line + "\n")
        self.file.flush()


def free_port():
    """Returns a loopback port that is free for TCP and UDP."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port


def reset(writer):
    """Closes the connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader):
    """Returns the words of the first line, the headers in lower case and the body; None at EOF."""
    line = await reader.readline()
    if not line:
        return None
    words = line.decode("latin-1").rstrip("\r\n").split(" ")
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return words, headers, body


def message(status, headers=(), body=b""):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "X"))]
    lines += ["%s: %s" % item for item in dict(headers).items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(handler):
    """Serves on a free loopback port; returns the server and its `ip:port`."""
    server = await asyncio.start_server(handler, "127.0.0.1", 0, limit=1 << 22)
    return server, "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.kinds = {}
        self.revision = 100
        self.history = []  # (revision, kind, event, time)
        self.oldest = self.revision
        self.changed = asyncio.Condition()
        self.bad_requests = 0
        self.raw = {}  # Texts that stand in answers for the strings that name them.

    async def start(self):
        self.server, self.address = await serve(self.handle)

    async def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        before = objects.get(name)
        if before is not None and before["spec"] == spec:
            return before
        self.revision += 1
        created = before["metadata"]["created_rev"] if before else self.revision
        objects[name] = {"metadata": {"name": name, "rev": self.revision, "created_rev": created,
                                      "finalizers": [], "deleting": False},
                         "spec": spec, "status": {}}
        await self.note(kind, {"object": objects[name], "deleted": False})
        return objects[name]

    async def delete(self, kind, name):
        removed = self.kinds.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            await self.note(kind, {"object": removed, "deleted": True})
        return removed

    async def note(self, kind, event):
        now = time.monotonic()
        self.history.append((self.revision, kind, event, now))
        while self.history and now - self.history[0][3] > HISTORY_S:
            self.oldest = self.history.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()

    def forget_history(self):
        """platform_compact: the history is discarded sooner than history_s."""
        self.history.clear()
        self.oldest = self.revision

    async def handle(self, reader, writer):
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                words = line.rstrip(b"\r\n").split(b" ")
                headers = {}
                while True:
                    field = await reader.readuntil(b"\r\n")
                    if field == b"\r\n":
                        break
                    name, _, value = field.decode("latin-1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                # RFC 9112, 3.2: a request line has three words, and a target no other bytes than
                # those of a URI.
                valid = len(words) == 3 and all(0x21 <= byte <= 0x7e for byte in words[1])
                if valid:
                    status, content = await self.call(words[0].decode(), words[1].decode(), body)
                else:
                    self.bad_requests += 1
                    self.record.write("store: answers 400 to the request line %r", line)
                    status, content = 400, {"error": "invalid request line"}
                extra = {"Content-Type": "application/json"}
                writer.write(message(status, extra, self.text(content).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        writer.close()

    def add_raw(self, text):
        """Returns what stands for the JSON text in a spec."""
        name = "raw text %d" % len(self.raw)
        self.raw[name] = text
        return name

    def text(self, content):
        text = json.dumps(content)
        for name, raw in self.raw.items():
            if name in text:
                text = text.replace('"%s"' % name, raw)
        return text

    async def call(self, method, target, body):
        parts = urlsplit(target)
        path = [unquote(each) for each in parts.path.split("/")[3:]]
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        kind, name = path[0], path[1] if len(path) > 1 else None
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is not None:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET":
            return 200, self.list(objects, query.get("after", ""))
        if method == "DELETE":
            removed = await self.delete(kind, name)
            return (200, removed) if removed else (404, {})
        sent = json.loads(body)
        if method == "POST":
            name = sent["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 201, await self.put(kind, name, sent["spec"])
        if name not in objects:
            return 404, {}
        wanted = sent.get("metadata", {}).get("rev")
        if wanted is not None and wanted != objects[name]["metadata"]["rev"]:
            return 409, objects[name]
        return 200, await self.put(kind, name, sent["spec"])

    def list(self, objects, after):
        items, size, more = [], 0, False
        for name in sorted(each for each in objects if each > after):
            length = len(self.text(objects[name]))
            if items and (len(items) >= PAGE_ITEMS or size + length > PAGE_BYTES):
                more = True
                break
            items.append(objects[name])
            size += length
        return {"items": items, "has_more": more, "store_revision": self.revision}

    async def watch(self, kind, revision, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if revision < self.oldest or revision > self.revision:
                return 410, {}
            events = [event for rev, of, event, _ in self.history if of == kind and rev > revision]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Worker:
    """A worker of a plain service. `runs` lists the ids of the requests that it ran."""

    def __init__(self, record, store, name, service, zone="z1", slots=6):
        self.record, self.store, self.name = record, store, name
        self.service, self.zone, self.slots = service, zone, slots
        self.born = int(time.time() * 1000)
        self.state, self.seq, self.runs = "ready", 0, []
        self.arrivals = []  # (time, id)
        self.work_s = 0.015
        self.writers = set()

    async def start(self):
        self.server, self.address = await serve(self.handle)
        self.beating = asyncio.ensure_future(self.beat())
        await self.register()

    def entry(self):
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "1",
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.seq,
                "born": self.born}

    async def register(self):
        await self.store.put("servers", self.name, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.name not in self.store.kinds.get("servers", {}):
                await self.register()

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                got = await read_message(reader)
                if got is None:
                    break
                await self.answer(got, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        self.writers.discard(writer)
        writer.close()

    def head(self, request):
        return {"X-Hawthorndrum-Request-Id": request, "X-Hawthorndrum-Instance-Id": self.name}

    async def answer(self, got, writer):
        words, headers, _ = got
        request = headers.get("x-hawthorndrum-request-id", "")
        if headers.get("x-hawthorndrum-expect-instance", self.name) != self.name:
            writer.write(message(421, self.head(request)))
            return
        if not request:
            writer.write(message(400, {"X-Hawthorndrum-Not-Executed": "1"}))
            return
        self.arrivals.append((self.record.now(), request))
        self.runs.append(request)
        self.record.write("worker %s runs %s", self.name, request)
        await asyncio.sleep(self.work_s)
        head = dict(self.head(request), **{"X-Hawthorndrum-Response-Seal": "s-" + request})
        writer.write(message(200, head, b"whole answer to " + request.encode()))


class Gateway:
    """A process of the deploy file's program with settings like those of a small deployment."""

    def __init__(self, record, folder, name, store_address, zone="z1"):
        self.record, self.name = record, name
        self.callers, self.ready, self.notices = free_port(), free_port(), free_port()
        self.settings = os.path.join(folder, name + ".yaml")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(
                'host: "%s"\ndata_centre: "%s"\ncallers: "127.0.0.1:%d"\n'
                'readiness: "127.0.0.1:%d"\nnotices: "127.0.0.1:%d"\nmetrics: "127.0.0.1:%d"\n'
                'store: "%s"\nstop_grace: %ds\nleaving_known_within: 2000ms\nfile_limit: 4100\n'
                'memory: 260MiB\nretries:\n  ratio: 0.2\n  reserve: 56\n  window: 10s\n'
                % (name, zone, self.callers, self.ready, self.notices, free_port(), store_address,
                   GRACE_S))

    def start(self):
        self.record.write("platform starts %s", self.name)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([GATEWAY], stdout=log, stderr=log, cwd=ROOT,
                                            env=dict(os.environ,
                                                     HAWTHORNDRUM_SETTINGS=self.settings))

    def send(self, number):
        self.record.write("platform sends %s to %s", signal.Signals(number).name, self.name)
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            answer = await request(self.ready, "GET", "/api/ready", {}, b"", 1)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def wait_ready(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Proxy:
    """Forwards connections to `target`. silence() makes the open ones silent for good, without a
    reset, while new ones work."""

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.links = []

    async def start(self):
        self.server, self.address = await serve(self.accept)

    def silence(self):
        for link in self.links:
            link["silent"] = True
        count = len(self.links)
        self.links = []
        return count

    async def accept(self, reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        link = {"silent": False}
        self.links.append(link)
        await asyncio.gather(self.copy(reader, other_writer, link),
                             self.copy(other_reader, writer, link))
        if link in self.links:
            self.links.remove(link)

    @staticmethod
    async def copy(reader, writer, link):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if link["silent"]:
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        if not link["silent"]:
            writer.close()


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_answer(reader):
    got = await read_message(reader)
    if got is None:
        raise asyncio.IncompleteReadError(b"", None)
    words, headers, body = got
    return Answer(int(words[1]), headers, body)


async def request(port, method, target, headers, body, seconds):
    """Makes one request on a connection of its own."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + HOST]
            lines += ["%s: %s" % item for item in headers.items()]
            if body or method == "POST":
                lines.append("Content-Length: %d" % len(body))
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            return await read_answer(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), seconds)


def configuration(version, timeout_ms=1000):
    """The operator's configuration of one plain service with a safe and an unsafe route."""
    route = {"host": HOST, "timeout_ms": timeout_ms, "goal_ms": 100, "priority": 1,
             "service": "desk"}
    return {"version": version,
            "routes": [dict(route, name="look", path_prefix="/look/", kind="safe", attempts=2),
                       dict(route, name="pay", path_prefix="/pay/", kind="unsafe", attempts=1)],
            "services": [{"name": "desk", "max_conns": 110, "health_path": "/health"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}


FOLDERS = []


def temporary_folder():
    """Returns a folder for settings and logs; main() removes it unless KEEP_LOGS=1."""
    FOLDERS.append(tempfile.mkdtemp(prefix="review-"))
    return FOLDERS[-1]


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(run):
    """Runs the case and ends with its exit code; 2 if the case itself failed."""
    try:
        code = asyncio.run(run())
    except BaseException:
        traceback.print_exc()
        code = 2
    for folder in FOLDERS:
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
