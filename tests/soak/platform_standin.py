"""Stand-ins for the platform's workers in the soak: engines and plain workers.

They run in the soak's own process and record what back ends see, so that the checks can read it.
"""

import asyncio
import json
import time

from fault_proxy import reset_connection
from http_messages import answer, read_message

ASKED_S = (1, 4)  # Shortest and longest time without requests that a worker asks for.
UNFRAMED_SHARE = 0.1  # Share of the answers that have neither a length nor chunks.


class HeldWriter:
    """A connection of a worker; what is written while the worker is silent leaves afterwards."""

    def __init__(self, writer):
        self.writer, self.transport = writer, writer.transport
        self.silent, self.closing, self.held = False, False, b""

    def write(self, data):
        if self.silent:
            self.held += data
        else:
            self.writer.write(data)

    async def drain(self):
        await self.writer.drain()

    def close(self):
        self.closing = True
        if not self.silent:
            self.writer.close()

    def speak(self):
        self.silent = False
        self.writer.write(self.held)
        self.held = b""
        if self.closing:
            self.writer.close()


class Worker:
    """One incarnation of a worker: an engine of a stage, or a plain worker if `stage` is None."""

    def __init__(self, records, rng, name, service, stage, version):
        self.records, self.rng, self.name = records, rng, name
        self.service, self.stage, self.version = service, stage, version
        self.started_ms = int(time.time() * 1000)
        self.orders, self.handles, self.switching = 0, set(), False
        self.fault = None  # None, "refuse", "cut", "extra" or "error".
        self.writers, self.silent = set(), False
        self.running = {}  # Number of calls in progress by request.
        self.server, self.alive, self.leaving = None, True, False
        self.on_stage_changed = None
        self.limit = None  # Requests a second that it takes from all gateways together.
        self.gateways = {}  # The gateway of each connection, by its port.
        self.asks_for_time = False  # It turns requests away and wants no others for a time.
        self.on_crashed = None  # Called when a request has crashed it.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def crash(self):
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            reset_connection(writer)

    def fall_silent(self):
        self.silent = True
        for writer in self.writers:
            writer.silent = True
        for request in self.running:
            self.records.on_silence(request)

    def speak(self):
        self.silent = False
        for writer in list(self.writers):
            writer.speak()
            if writer.closing:
                self.writers.discard(writer)

    def entry(self, address, state):
        spec = {"service": self.service, "addr": address, "zone": "z1", "version": self.version,
                "slots": 16, "state": state, "cold_left_ms": 0, "seq": 1, "born": self.started_ms}
        if self.stage:
            spec["phase"] = self.stage
        return spec

    async def serve(self, reader, plain_writer):
        writer = HeldWriter(plain_writer)
        writer.silent = self.silent
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                gateway = self.gateways.get(plain_writer.get_extra_info("peername")[1])
                if message is None or not await self.handle(message, writer, gateway):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        writer.close()
        if not writer.silent:
            self.writers.discard(writer)

    async def handle(self, message, writer, gateway):
        words, headers, body = message
        method, target = words[0], words[1]
        if headers.get("x-hawthorndrum-expect-instance", self.name) != self.name:
            writer.write(answer(421, {"X-Hawthorndrum-Instance-Id": self.name}, b""))
            return True
        if target == "/api/report":
            report = {"seq": self.orders, "busy": self.switching}
            writer.write(answer(200, {}, json.dumps(report).encode()))
            return True
        if target == "/api/order":
            return await self.order(json.loads(body), writer)
        if target.startswith("/api/"):
            self.handles.discard(target.split("/")[-1])
            writer.write(answer(200, {}, b"{}"))
            return True
        request = headers.get("x-hawthorndrum-request-id", "")
        self.records.on_offer(self.name, request, gateway)
        self.records.keys.check_offer(request, target, headers, self.records.fail)
        if self.asks_for_time and not self.silent:
            seconds = round(self.rng.uniform(*ASKED_S), 1)
            self.records.rests.on_asked(self.name, gateway, seconds)
            writer.write(answer(503, {"X-Hawthorndrum-Request-Id": request,
                                      "X-Hawthorndrum-Not-Executed": "1",
                                      "Retry-After": "%g" % seconds}, b""))
            return True
        part = self.crashing_part(headers)
        if part:
            self.records.on_crashing_offer(request, part)
        if self.silent:
            self.records.on_silence(request)
        self.running[request] = self.running.get(request, 0) + 1
        try:
            return await self.run(method, target, headers, body, writer)
        finally:
            self.running[request] -= 1
            if not self.running[request]:
                del self.running[request]

    def crashing_part(self, headers):
        """Returns the shared part of the prompt that crashes engines, or None."""
        parts = headers.get("x-hawthorndrum-prompt-prefix", "").split(",")[:-1]
        names = [part.split(":")[0] for part in parts]
        return next((name for name in names if name in self.records.crashing_parts), None)

    async def order(self, sent, writer):
        self.records.on_order(self.name, sent)
        if sent["expected"] != self.orders or self.switching:
            writer.write(answer(409, {}, b"{}"))
            return True
        self.orders += 1
        self.switching = True
        asyncio.get_running_loop().call_later(0.5, self.finish_switch, sent["phase"])
        writer.write(answer(202, {}, b"{}"))
        return True

    def finish_switch(self, stage):
        self.stage, self.switching = stage, False
        if self.on_stage_changed and self.alive:
            self.on_stage_changed(self)

    async def run(self, method, target, headers, body, writer):
        request = headers.get("x-hawthorndrum-request-id", "")
        id_header = {"X-Hawthorndrum-Request-Id": request}
        if self.limit:
            id_header["Server-Limit"] = "%g" % self.limit
            self.records.limits.on_answer(self.name, request)
        if self.switching or (self.fault == "refuse" and self.rng.random() < 0.5):
            writer.write(answer(503, {**id_header, "X-Hawthorndrum-Not-Executed": "1"}, b""))
            return True
        if headers.get("x-hawthorndrum-stage") == "prefill":
            handle = "h%d" % self.rng.getrandbits(48)
            self.handles.add(handle)
            body = json.dumps({"handle": handle, "tokens": 1}).encode()
            writer.write(answer(200, id_header, body))
            return True
        self.records.on_run(self.name, request, method, target, body)
        self.records.duties.on_began(headers.get("x-hawthorndrum-tenant", ""))
        seal = self.records.seal(self.name, request)
        if target.startswith("/stream/"):
            return await self.stream(request, headers, seal, id_header, writer)
        await asyncio.sleep(self.rng.uniform(0.001, 0.02))
        if self.fault == "error" and self.rng.random() < 0.4:
            writer.write(answer(500, {**id_header, "X-Hawthorndrum-Response-Seal": seal}, b"sorry"))
            return True
        whole = answer(200, {**id_header, "X-Hawthorndrum-Response-Seal": seal},
                       self.records.body(request))
        unframed = self.rng.random() < UNFRAMED_SHARE
        if unframed:
            whole = whole.replace(b"Content-Length", b"X-Length", 1)
        if self.fault == "cut" and self.rng.random() < 0.3:
            writer.write(whole[: self.rng.randrange(1, len(whole))])
            await writer.drain()
            if unframed:
                reset_connection(writer)
            return False
        writer.write(whole)
        if unframed:
            return False
        if self.fault == "extra" and self.rng.random() < 0.3:
            writer.write(whole)
        return True

    async def stream(self, request, headers, seal, id_header, writer):
        first = int(headers.get("last-event-id") or 0) + 1
        head = {**id_header, "X-Hawthorndrum-Response-Seal": seal}
        unframed = self.rng.random() < UNFRAMED_SHARE
        if not unframed:
            head["Transfer-Encoding"] = "chunked"
        lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % item for item in head.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, self.records.EVENTS + 1):
            event = self.records.event(request, number, self.name)
            chunk = event if unframed else b"%x\r\n%s\r\n" % (len(event), event)
            if self.fault == "cut" and self.rng.random() < 0.05:
                writer.write(chunk[: self.rng.randrange(1, len(chunk))])
                await writer.drain()
                # A close inside an event breaks an unframed stream off like a reset.
                if not unframed or self.rng.random() < 0.5:
                    reset_connection(writer)
                return False
            if number > first and self.crashing_part(headers):
                self.crash()
                self.on_crashed(self, self.crashing_part(headers))
                return False
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(self.rng.uniform(0.002, 0.02))
        if unframed:
            return False
        writer.write(b"0\r\n\r\n")
        return True
