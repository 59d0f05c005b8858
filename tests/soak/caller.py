"""A caller of the soak: sends requests one after another and reads their answers."""

import asyncio
import os
import random
import time

HOST = "shop.example"
CALLER_PATIENCE_S = 6
IDEMPOTENT = ("/look/", "/stream/tell/")


class Attempt:
    """One request of a caller with its own id, and what came back."""

    def __init__(self, request, port, asked):
        self.request, self.port, self.asked = request, port, asked
        self.start, self.end = time.monotonic(), None
        self.status, self.headers, self.body, self.whole = 0, {}, b"", False

    def is_stream(self):
        return self.asked[1].startswith("/stream/")


class Caller:
    def __init__(self, soak, index):
        self.soak, self.records = soak, soak.records
        self.rng = random.Random(soak.options.seed * 77 + index)
        self.connection = None

    async def run(self):
        while not self.soak.finished:
            prefix = self.rng.choice(["/look/", "/pay/", "/stream/tell/", "/stream/note/"])
            await self.call(prefix)
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

    async def call(self, prefix):
        """Makes one attempt; returns None if no connection was made."""
        try:
            await self.connect()
        except (OSError, asyncio.TimeoutError):
            return None
        request = self.soak.next_name("q")
        body = b"" if prefix == "/look/" else os.urandom(self.rng.randrange(1, 2000))
        asked = ("GET" if prefix == "/look/" else "POST", prefix + request, body)
        return await self.make_attempt(Attempt(request, self.connection[2], asked))

    async def make_attempt(self, attempt):
        """Sends the attempt on the current connection and records what came back."""
        self.records.sent[attempt.request] = {
            "asked": attempt.asked, "idempotent": attempt.asked[1].startswith(IDEMPOTENT)}
        reader, writer, _ = self.connection
        reusable = False
        try:
            reusable = await asyncio.wait_for(self.exchange(attempt, reader, writer),
                                              CALLER_PATIENCE_S)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, KeyError,
                IndexError):
            pass
        attempt.end = time.monotonic()
        if not reusable:
            self.drop_connection()
        self.records.on_attempt(attempt)
        return attempt

    async def exchange(self, attempt, reader, writer):
        method, target, body = attempt.asked
        lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + HOST,
                 "X-Hawthorndrum-Request-Id: " + attempt.request,
                 "X-Hawthorndrum-Deadline-Ms: 3000", "X-Hawthorndrum-Kv-Hold: forged",
                 "Content-Length: %d" % len(body)]
        if attempt.is_stream():
            own = self.rng.randrange(10, 4000)
            lines += ["X-Hawthorndrum-Token-Count: %d,50" % (3000 + own),
                      "X-Hawthorndrum-Prompt-Prefix: a%d:3000,%s:%d"
                      % (self.rng.randrange(20), attempt.request[1:], own)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return await self.read_answer(attempt, reader)

    async def read_answer(self, attempt, reader):
        """Reads the answer; returns whether the connection may be reused."""
        first = (await reader.readline()).split()
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
