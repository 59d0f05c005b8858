"""Callers of the soak that send unusual, broken or unfinished requests.

They check only what holds for any caller: what comes back is HTTP and belongs to the request, and
nothing runs that was not sent whole. The soak's records know the ids of whole requests; a worker
that runs any other id fails the run.
"""

import asyncio
import collections
import random
import re

from fault_proxy import reset_connection
from odd_requests import COUNTS, ODD_HEADERS, PARTS, Asked
from records import EVENT

MAX_AT_ONCE = 40
IDLE = 6  # Connections that send nothing.
LONGEST_PAUSE_S = 0.06  # Between two callers.
PATIENCE_S = 4
STALL_S = (0.5, 3)
SMALL_BUFFER_BYTES = 2048
NOT_RUN = (408, 421, 429, 503)
FIELD = re.compile(r"(?m)^([^:\r\n]+):[ \t]*([^\r\n]*)")


class OddCallers:
    def __init__(self, soak):
        self.soak, self.records = soak, soak.records
        self.rng = random.Random(soak.options.seed + 7)
        self.keys = list(self.records.keys.kept)
        self.counts = collections.Counter()
        self.ways = [self.read, self.read_bytewise, self.half_close, self.leave, self.stop_reading]

    async def run(self):
        idle = [asyncio.ensure_future(self.stay_idle()) for _ in range(IDLE)]
        tasks = set()
        while not self.soak.faults_stopped:
            await asyncio.sleep(self.rng.uniform(0, LONGEST_PAUSE_S))
            tasks = {task for task in tasks if not task.done()}
            if len(tasks) < MAX_AT_ONCE:
                tasks.add(asyncio.ensure_future(self.call()))
        for each in idle:
            each.cancel()
        await asyncio.gather(*tasks)
        print("odd callers: %s" % dict(self.counts))

    async def connect(self):
        to = self.rng.choice(self.soak.gateways)["port"]
        opening = asyncio.open_connection("127.0.0.1", to, limit=SMALL_BUFFER_BYTES)
        return await asyncio.wait_for(opening, 1)

    async def call(self):
        way = self.rng.choice(self.ways)
        requests = [self.ask() for _ in range(self.rng.choice([1, 1, 1, 2, 5, 20]))]
        whole = self.rng.random() < 0.75
        data = [self.rng.choice([each.whole, each.chunked])() for each in requests]
        if not whole:
            data[-1] = requests[-1].unfinished()
        for each in requests if whole else requests[:-1]:
            for name in each.names:
                self.records.sent[name] = {"asked": (each.method, each.target, each.body),
                                           "idempotent": each.idempotent}
        try:
            reader, writer = await self.connect()
        except (OSError, asyncio.TimeoutError):
            return
        try:
            self.counts[way.__name__ if whole else "unfinished"] += 1
            writer.write(b"".join(data))
            await asyncio.wait_for(way(reader, writer, requests), PATIENCE_S)
        except (OSError, asyncio.TimeoutError):
            pass
        self.rng.choice([reset_connection, asyncio.StreamWriter.close])(writer)

    def ask(self):
        version = self.rng.choice(["HTTP/1.1"] * 4 + ["HTTP/1.0"])
        method = self.rng.choice([None] * 7 + ["HEAD"])
        prefix = self.rng.choice(["/look/", "/pay/", "/stream/tell/", "/stream/note/"])
        asked = Asked(self.rng, self.soak.next_name("o"), prefix, version, method)
        asked.headers.append("Api-Key: " + self.rng.choice(self.keys))
        if self.rng.random() < 0.5:
            asked.headers += ["X-Hawthorndrum-Token-Count: " + self.rng.choice(COUNTS),
                              "X-Hawthorndrum-Prompt-Prefix: " + self.rng.choice(PARTS)]
        if self.rng.random() < 0.3:
            asked.headers += self.rng.choices(ODD_HEADERS, k=3)
        if asked.idempotent and self.rng.random() < 0.1:
            asked.names.append(self.soak.next_name("o"))
            asked.headers.append("X-Hawthorndrum-Request-Id: " + asked.names[1])
        return asked

    async def read_bytewise(self, reader, writer, requests):
        await self.read(reader, writer, requests, size=1)

    async def half_close(self, reader, writer, requests):
        writer.write_eof()
        await self.read(reader, writer, requests)

    async def leave(self, reader, writer, requests):
        await asyncio.sleep(self.rng.uniform(0, 0.1))

    async def stop_reading(self, reader, writer, requests):
        await asyncio.sleep(self.rng.uniform(*STALL_S))

    async def stay_idle(self):
        """Sends nothing until the process ends or closes the connection; then at another one."""
        while True:
            try:
                reader, writer = await self.connect()
                if data := await reader.read(64):
                    self.records.fail("an idle connection got %r" % data)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(LONGEST_PAUSE_S)

    async def read(self, reader, writer, requests, size=65536):
        """Reads until the connection ends or the answers are there, and checks them in order."""
        data, waiting = b"", list(requests)
        while waiting:
            more = await reader.read(size)
            data += more
            while waiting and data and (taken := self.take(data, waiting[0], not more)) is not None:
                data = data[taken:]
                waiting.pop(0)
            if not more:
                return
        if data:
            self.records.fail("%s got %r after its answer" % (requests[-1].names, data[:80]))

    def take(self, data, asked, is_end):
        """Checks the answer at the front; returns its size, or None if it is not whole yet."""
        if not data.startswith(b"HTTP/1."[:len(data)]):
            self.records.fail("%s got bytes that are no answer: %r" % (asked.names, data[:80]))
            return len(data)
        end = data.find(b"\r\n\r\n") + 4
        if end < 4:
            return None
        if data[9:12] == b"100":
            rest = self.take(data[end:], asked, is_end) if len(data) > end else None
            return None if rest is None else end + rest
        fields = dict(FIELD.findall(data[:end].decode("latin-1").lower()))
        size = int(fields.get("content-length", 0)) if asked.method != "HEAD" else 0
        is_stream = asked.method != "HEAD" and "content-length" not in fields
        if is_stream:
            last = data.find(b"\r\n0\r\n\r\n", end - 2)
            if last < 0 and not is_end:
                return None
            size = last + 7 - end if last >= 0 else len(data) - end
        if len(data) < end + size:
            return None
        self.check(asked, int(data[9:12]), fields, data[end:end + size], is_stream)
        return end + size

    def check(self, asked, status, fields, body, is_stream):
        names, fail = asked.names, self.records.fail
        self.counts[status] += 1
        if status in NOT_RUN and not asked.idempotent:
            self.records.not_run.update(names)
            if any(self.records.runs.get(name) for name in names):
                fail("%s were reported as not run with %d but had run" % (names, status))
        if status != 200:
            return
        seal = fields.get("x-hawthorndrum-response-seal", "")
        # Chunks are headed by their sizes, which no event contains.
        events = EVENT.findall(re.sub(rb"(?m)^[0-9a-f]+\r\n", b"", body).replace(b"\r\n", b""))
        is_plain = asked.method != "HEAD" and not is_stream
        if not any(seal.endswith("." + name) for name in names) or \
                (is_stream and any(event[1].decode() not in names for event in events)) or \
                (is_plain and body not in [self.records.body(name) for name in names]):
            fail("%s got the answer %s: %r" % (names, seal, body[:200]))
