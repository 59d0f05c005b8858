"""Stand-in for a plain worker of a service, by PROTOCOL.md."""

import asyncio
import time

from http_io import answer_bytes, read_message

HEARTBEAT_S = 1.2


class Worker:
    """Serves requests and keeps its entry in the store, until Exit."""

    def __init__(self, store, log, name, service, work_s, slots=6, events=0, pause_s=0):
        """Works for `work_s`, and then answers with a body or with that many events."""
        self.store, self.log = store, log
        self.events, self.pause_s = events, pause_s
        self.name, self.service, self.work_s, self.slots = name, service, work_s, slots
        self.born, self.seq = int(time.time() * 1000), 0
        self.state = "ready"
        self.listed = True
        self.began = []  # (time, request id)
        self.finished = []  # (time, request id)
        self.connections = set()
        self.exited = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.write_entry()
        self.beats = asyncio.ensure_future(self.beat())

    def entry(self):
        return {"service": self.service, "addr": "127.0.0.1:%d" % self.port, "zone": "z1",
                "version": "1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                "seq": self.seq, "born": self.born}

    def write_entry(self):
        self.store.put("servers", self.name, self.entry())

    async def beat(self):
        """Writes its entry about every heartbeat; a store that came back gets it anew then."""
        while not self.exited:
            await asyncio.sleep(HEARTBEAT_S)
            if self.exited or self.store.away:
                continue
            self.seq += 1
            known = self.store.objects.get("servers", {}).get(self.name)
            if not self.listed:
                if known is not None:
                    self.store.remove("servers", self.name)
            elif known is not None and known["spec"]["state"] == self.state:
                self.store.beat("servers", self.name, self.seq)
            else:
                self.log("%s writes its entry again: %s" % (self.name, self.state))
                self.write_entry()

    def drain(self):
        """Reports that it leaves; it goes on serving until Exit."""
        self.state = "draining"
        self.write_entry()
        # The next heartbeat counts from this write.
        self.beats.cancel()
        self.beats = asyncio.ensure_future(self.beat())

    def leave_unreported(self):
        """Its entry is removed without a report; it goes on serving until Exit."""
        self.listed = False
        self.store.remove("servers", self.name)

    def exit(self):
        """The process ends: open requests are broken off."""
        self.exited = True
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while not self.exited:
                message = await read_message(reader)
                if message is None:
                    break
                await self.run(message, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, message, writer):
        request = message.header("X-Hawthorndrum-Request-Id")
        headers = [("X-Hawthorndrum-Request-Id", request),
                   ("X-Hawthorndrum-Instance-Id", self.name)]
        expected = message.header("X-Hawthorndrum-Expect-Instance")
        if expected and expected != self.name:
            writer.write(answer_bytes(421, headers))
            return
        self.began.append((time.monotonic(), request))
        await asyncio.sleep(self.work_s)
        if not self.listed or self.state == "draining":
            headers.append(("Server-Leaving", "1"))
        headers.append(("X-Hawthorndrum-Response-Seal", "seal-%s" % request))
        if self.events:
            await self.stream(headers, writer)
        else:
            writer.write(answer_bytes(200, headers, b"done " + request.encode()))
        self.finished.append((time.monotonic(), request))

    async def stream(self, headers, writer):
        headers += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % item for item in headers]
        writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")
        for number in range(1, self.events + 1):
            event = b"id: %d\ndata: t%d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if number < self.events:
                await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
