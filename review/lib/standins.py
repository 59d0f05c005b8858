"""Stand-ins of the platform, by its pages: store, plain workers, the API for duties."""

import asyncio
import copy
import json
import socket
import struct
import time


def split(address):
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def reset(writer):
    """Closes with a reset."""
    own = writer.transport.get_extra_info("socket")
    if own is not None and own.fileno() >= 0:
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader):
    """Returns the first line's words, the headers (lower-case names) and the body; None at EOF."""
    line = await reader.readline()
    if not line:
        return None
    words = line.decode("latin-1").split()
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


def answer(status, headers, body):
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % item for item in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


BROKEN_CONNECTION = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError,
                     OSError)


class Store:
    """The platform's store: objects by kind and name, revisions, watches, restores."""

    def __init__(self, record, history_s=20):
        self.record, self.history_s = record, history_s
        self.objects, self.history, self.revision, self.oldest = {}, [], 10, 10
        self.era, self.away = 1, False
        self.changed = asyncio.Condition()
        self.copies = []
        self.writers = set()
        self.refuses = set()  # Addresses of machines that it turns away with 503.
        self.raw = {}  # Texts that stand in answers for the named objects' specs, byte for byte.
        self.address = None

    async def start(self, address):
        self.address = address
        ip, port = split(address)
        await asyncio.start_server(self.serve, ip, port)
        asyncio.ensure_future(self.copy_all())

    async def copy_all(self):
        """Keeps a copy of the last ten seconds, four a second."""
        while True:
            self.copies.append((time.monotonic(), copy.deepcopy(self.objects), list(self.history),
                                self.revision))
            self.copies = self.copies[-40:]
            await asyncio.sleep(0.25)

    async def restore(self, age_s, away_s):
        """Is away for a moment and comes back from a copy that was `age_s` old when it went."""
        taken = time.monotonic() - age_s
        kept = [each for each in self.copies if each[0] <= taken][-1]
        self.record.say("store: away at revision %d for %.1f s; will come back from a copy %.1f s "
                        "old" % (self.revision, away_s, age_s))
        self.away = True
        for writer in list(self.writers):
            reset(writer)
        async with self.changed:
            self.changed.notify_all()
        await asyncio.sleep(away_s)
        _, self.objects, self.history, self.revision = copy.deepcopy(kept)
        self.era += 1
        self.away = False
        self.record.say("store: back, era %d, revision %d" % (self.era, self.revision))

    async def put(self, kind, name, spec):
        kept = self.objects.setdefault(kind, {})
        old = kept.get(name)
        if old is not None and old["spec"] == spec:
            return
        self.revision += 1
        made = old["metadata"]["created_rev"] if old else self.revision
        kept[name] = {"metadata": {"name": name, "rev": self.revision, "created_rev": made,
                                   "finalizers": [], "deleting": False}, "spec": spec, "status": {}}
        await self.note(kind, kept[name], False)

    async def delete(self, kind, name):
        removed = self.objects.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            await self.note(kind, removed, True)

    async def note(self, kind, entry, deleted):
        self.history.append((self.revision, kind, {"object": copy.deepcopy(entry),
                                                   "deleted": deleted}, time.monotonic()))
        while self.history and time.monotonic() - self.history[0][3] > self.history_s:
            self.oldest = self.history.pop(0)[0]
        async with self.changed:
            self.changed.notify_all()

    def encode(self, content):
        """JSON; raw specs are put in as the bytes that another writer gave."""
        text = json.dumps(content).encode()
        for mark, given in self.raw.items():
            text = text.replace(b'"%s"' % mark.encode(), given)
        return text

    async def serve(self, reader, writer):
        if self.away:
            return reset(writer)
        self.writers.add(writer)
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                status, content = await self.call(message[0][0], message[0][1], message[2], peer)
                if self.away:
                    reset(writer)
                    break
                writer.write(answer(status, {"Store-Era": self.era,
                                             "Content-Type": "application/json"},
                                    self.encode(content)))
                await writer.drain()
        except BROKEN_CONNECTION:
            pass
        self.writers.discard(writer)
        writer.close()

    async def call(self, method, target, body, peer):
        if peer in self.refuses:
            return 503, {}
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        parts = path.split("/")[3:]
        options = dict(item.split("=") for item in query.split("&")) if query else {}
        kind = self.objects.setdefault(parts[0], {})
        if method == "GET" and len(parts) == 2:
            return (200, kind[parts[1]]) if parts[1] in kind else (404, {})
        if method == "GET" and "watch" in options:
            return await self.watch(parts[0], int(options["watch"]), int(options["wait_ms"]), peer)
        if method == "GET":
            return 200, {"items": list(kind.values()), "has_more": False,
                         "store_revision": self.revision}
        if method == "DELETE":
            if parts[1] not in kind:
                return 404, {}
            wanted = options.get("rev")
            if wanted is not None and int(wanted) != kind[parts[1]]["metadata"]["rev"]:
                return 409, kind[parts[1]]
            await self.delete(parts[0], parts[1])
            return 200, {}
        sent = json.loads(body)
        name = sent["metadata"]["name"]
        if method == "POST" and name in kind:
            return 409, kind[name]
        if method == "PUT":
            if name not in kind:
                return 404, {}
            wanted = sent["metadata"].get("rev")
            if wanted is not None and wanted != kind[name]["metadata"]["rev"]:
                return 409, kind[name]
        await self.put(parts[0], name, sent["spec"])
        return 200, kind[name]

    async def watch(self, kind, revision, wait_ms, peer):
        end, era = time.monotonic() + wait_ms / 1000, self.era
        while True:
            if peer in self.refuses:
                return 503, {}
            if revision < self.oldest or revision > self.revision or era != self.era:
                return 410, {}
            events = [e for r, k, e, _ in self.history if k == kind and r > revision]
            left = end - time.monotonic()
            if events or left <= 0 or self.away:
                return 200, {"events": events, "store_revision": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Worker:
    """A plain worker: works `work_s` on a request and answers it whole."""

    def __init__(self, record, name, service, zone, address, work_s=0.015):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.address, self.work_s = address, work_s
        self.born = int(time.time() * 1000)
        self.runs = []  # Id, method, target, headers of each request that it ran.
        self.arrivals = []
        self.server, self.writers = None, set()
        self.state = "ready"

    async def start(self):
        ip, port = split(self.address)
        self.server = await asyncio.start_server(self.serve, ip, port)

    def entry(self):
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
                "slots": 6, "state": self.state, "cold_left_ms": 0, "seq": 1, "born": self.born}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None or not await self.handle(message, writer):
                    break
                await writer.drain()
        except BROKEN_CONNECTION:
            pass
        self.writers.discard(writer)
        writer.close()

    async def handle(self, message, writer):
        words, headers, body = message
        if headers.get("x-hawthorndrum-expect-instance", self.name) != self.name:
            writer.write(answer(421, {"X-Hawthorndrum-Instance-Id": self.name}, b""))
            return True
        if words[1] == "/health":
            writer.write(answer(200, {"X-Hawthorndrum-Instance-Id": self.name}, b""))
            return True
        return await self.run(words, headers, body, writer)

    async def run(self, words, headers, body, writer):
        request = headers.get("x-hawthorndrum-request-id", "")
        self.runs.append((request, words[0], words[1], headers, time.monotonic()))
        self.record.write("run %s at %s: %s %s" % (request, self.name, words[0], words[1]))
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, {"X-Hawthorndrum-Request-Id": request,
                                  "X-Hawthorndrum-Response-Seal": "%s.%s" % (self.name, request)},
                            b"answer to " + request.encode()))
        return True

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)


class Platform:
    """The API for duties; it checks no fences and takes an exact repeat of a report."""

    def __init__(self, record):
        self.record = record
        self.usage = []  # Time, holder, token, window and counts of each accepted report.
        self.on_usage = None
        self.address = None

    async def start(self, address):
        self.address = address
        ip, port = split(address)
        await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        try:
            message = await read_message(reader)
            if message:
                words, headers, body = message
                sent = json.loads(body)
                holder = headers["x-hawthorndrum-lease-holder"]
                token = int(headers["x-hawthorndrum-fence-token"])
                self.record.write("platform got %s of %s, token %d: %s"
                                  % (words[1], holder, token, json.dumps(sent, sort_keys=True)))
                if words[1] == "/usage":
                    self.usage.append((time.monotonic(), holder, token, sent["window_id"],
                                       sent["counts"]))
                    if self.on_usage:
                        self.on_usage(sent["window_id"])
                await asyncio.sleep(0.004)
                writer.write(answer(200, {}, b"{}"))
                await writer.drain()
        except BROKEN_CONNECTION:
            pass
        writer.close()
