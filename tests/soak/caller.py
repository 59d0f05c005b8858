"""A caller of the soak: sends requests one after another and reads their answers."""

import asyncio
import os
import random
import time


HOST = "shop.example"
CALLER_PATIENCE_S = 6
RESUMPTIONS = 3
MAX_WAIT_S = 1.0  # A third of a request's time.
EXPECT_SHARE = 0.05
CRASHING_SHARE = 0.2  # Of streams, while a part crashes engines.
EXPECT_WAIT_S = 0.2
INTERIM = b"HTTP/1.1 100"
IDEMPOTENT = ("/look/", "/stream/tell/")


class Attempt:
    """One request of a caller with its own id, and what came back."""

    def __init__(self, request, port, asked):
        self.request, self.port, self.asked = request, port, asked
        self.start, self.end = time.monotonic(), None
        self.status, self.headers, self.body, self.whole = 0, {}, b"", False
        self.expects = False  # It has Expect: 100-continue.
        self.broken = False  # The caller itself lost its connection.

    def is_stream(self):
        return self.asked[1].startswith("/stream/")


class Stream:
    """What a caller has of a stream over all its attempts."""

    def __init__(self, rng, number, crashing_part=None):
        own = rng.randrange(10, 4000)
        self.crashing_part = crashing_part
        session = "%s:200" % (crashing_part or "5e%d" % rng.randrange(50))
        self.prompt = ["X-Hawthorndrum-Token-Count: %d,50" % (3200 + own),
                       "X-Hawthorndrum-Prompt-Prefix: a%d:3000,%s,%x:%d"
                       % (rng.randrange(20), session, number, own)]
        self.first_attempt = None  # Id of the attempt that brought the first event.
        self.last_event, self.version, self.whole = 0, None, False


class Caller:
    def __init__(self, soak, index):
        self.soak, self.records = soak, soak.records
        self.rng = random.Random(soak.options.seed * 77 + index)
        self.connection = None
        self.current = None  # The attempt in progress.
        self.team = self.records.keys.teams[index % len(self.records.keys.teams)]

    async def run(self):
        while not self.soak.finished:
            prefix = self.rng.choice(["/look/", "/pay/", "/stream/tell/", "/stream/note/"])
            stream = None
            if prefix.startswith("/stream/"):
                part = self.soak.crashing_part
                is_bad = part and self.rng.random() < CRASHING_SHARE
                stream = Stream(self.rng, self.soak.number, part if is_bad else None)
            attempt = await self.call(prefix, stream)
            if attempt and prefix == "/stream/tell/":
                await self.resume(attempt, stream)
            await asyncio.sleep(self.rng.uniform(0, 0.05))

    async def connect(self):
        port = self.rng.choice(self.soak.gateways)["port"]
        if self.connection is None or self.rng.random() < 0.2:
            if self.connection:
                self.connection[1].close()
            self.connection = None
            opened = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
            self.connection = (*opened, port)

    def drop_connection(self):
        if self.connection:
            self.connection[1].transport.abort()
        self.connection = None

    def break_stream(self):
        if self.current and self.current.is_stream() and self.current.body:
            self.current.broken = True
            self.drop_connection()

    async def call(self, prefix, stream):
        """Makes a request's first attempt; returns None if no connection was made."""
        request = self.soak.next_name("q")
        body = b"" if prefix == "/look/" else os.urandom(self.rng.randrange(1, 2000))
        asked = ("GET" if prefix == "/look/" else "POST", prefix + request, body)
        return await self.make_attempt(request, asked, stream)

    async def resume(self, attempt, stream):
        """Takes a broken stream up again, each time on a new connection to any gateway."""
        for _ in range(RESUMPTIONS):
            if self.soak.finished or not 0 < stream.last_event < self.records.EVENTS:
                return
            self.drop_connection()
            again = await self.make_attempt(self.soak.next_name("q"), attempt.asked, stream)
            wait = float(again.headers.get("retry-after", 0)) if again else 0
            await asyncio.sleep(min(wait, MAX_WAIT_S) + self.rng.uniform(0, 0.1))

    async def make_attempt(self, request, asked, stream):
        """Sends an attempt and records what came back; returns None if no connection was made."""
        try:
            await self.connect()
        except (OSError, asyncio.TimeoutError):
            return None
        reader, writer, port = self.connection
        attempt = Attempt(request, port, asked)
        version, serving = None, 0
        if stream and stream.last_event:
            version = stream.version
            serving = self.soak.serving(version)
        self.current = attempt
        self.records.sent[request] = {"asked": asked, "idempotent": asked[1].startswith(IDEMPOTENT)}
        reusable = False
        try:
            reusable = await asyncio.wait_for(self.exchange(attempt, stream, reader, writer),
                                              CALLER_PATIENCE_S)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, KeyError,
                IndexError):
            pass
        attempt.end, self.current = time.monotonic(), None
        if not reusable:
            self.drop_connection()
        if version:
            serving = min(serving, self.soak.serving(version))
        self.records.on_attempt(attempt, stream, serving)
        return attempt

    async def exchange(self, attempt, stream, reader, writer):
        method, target, body = attempt.asked
        lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + HOST,
                 "X-Hawthorndrum-Request-Id: " + attempt.request,
                 "X-Hawthorndrum-Deadline-Ms: 3000", "X-Hawthorndrum-Kv-Hold: forged",
                 "X-Hawthorndrum-Tenant: forged", "Content-Length: %d" % len(body)]
        key = self.records.keys.choose(self.team)
        if key:
            lines.append("Api-Key: " + key)
        self.records.keys.on_sent(attempt, key)
        if attempt.is_stream():
            lines += stream.prompt
            if stream.last_event:
                lines += ["Last-Event-Id: %d" % stream.last_event,
                          "Resumes: " + stream.first_attempt]
        line = b""
        if body and self.rng.random() < EXPECT_SHARE:
            lines.append("Expect: 100-continue")
            attempt.expects = True
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        if attempt.expects:
            line = await self.read_first_line(reader)
            if line is not None and not line.startswith(INTERIM):
                self.records.count_expect("final answer")  # The body may still be due.
                await self.read_answer(attempt, reader, line)
                return False
            self.records.count_expect("no answer" if line is None else "interim answer")
        writer.write(body)
        await writer.drain()
        return await self.read_answer(attempt, reader, line or await reader.readline())

    async def read_first_line(self, reader):
        """Returns None if none comes in time; a late one is read afterwards."""
        try:
            return await asyncio.wait_for(reader.readline(), EXPECT_WAIT_S)
        except asyncio.TimeoutError:
            return None

    async def read_answer(self, attempt, reader, line):
        """Reads the answer that begins with `line`; returns whether the connection is reusable."""
        if attempt.expects and line.startswith(INTERIM):
            while await reader.readline() not in (b"\r\n", b""):
                pass
            line = await reader.readline()
        first = line.split()
        if not first:
            return False
        if not first[0].startswith(b"HTTP/1.1"):
            self.records.fail("%s got bytes that are no HTTP answer: %r" % (attempt.request, first))
            return False
        attempt.status = int(first[1])
        while True:
            line = await reader.readline()
            if line in (b"\r\n", b""):
                break
            name, _, value = line.decode("latin-1").partition(":")
            attempt.headers[name.strip().lower()] = value.strip()
        if attempt.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readline()), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                attempt.body += chunk[:-2]
        else:
            attempt.body = await reader.readexactly(int(attempt.headers["content-length"]))
        attempt.whole = True
        return attempt.headers.get("connection", "").lower() != "close"
