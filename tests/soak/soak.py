"""Randomized fault soak of hawthorndrum-gateway: real processes, faults from outside.

  python3 tests/soak/soak.py --binary build/hawthorndrum-gateway --seed 1 --seconds 20

Starts gateway processes in front of platform stand-ins, sends requests, injects faults by signals,
loopback proxies and the stand-ins, and continuously checks what callers and workers see. The seed
determines the kinds and times of the faults; their interleaving with requests varies between runs.
Exits with 0 if no check failed. It ends only processes that it started, by their ids.
"""

import argparse
import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from fault_proxy import FaultProxy
from platform_standin import Store, Worker

GATEWAYS = 3
ENGINES = 6
DESKS = 3
CLIENTS = 12
HOST = "shop.example"
MIN_HOLDER_CHANGE_S = 3.0
ROUTES = [
    {"name": "look", "path_prefix": "/look/", "kind": "safe", "service": "desk", "attempts": 2},
    {"name": "pay", "path_prefix": "/pay/", "kind": "unsafe", "service": "desk", "attempts": 1},
    {"name": "tell", "path_prefix": "/stream/tell/", "kind": "stream", "service": "llm",
     "attempts": 2, "resumable": True, "gap_aim_ms": 200},
    {"name": "note", "path_prefix": "/stream/note/", "kind": "stream", "service": "llm",
     "attempts": 1, "resumable": False, "gap_aim_ms": 200}]


class Records:
    """Records what callers sent and workers ran, and checks it."""

    EVENTS = 12

    def __init__(self):
        self.sent, self.runs, self.not_run, self.failures = {}, {}, set(), []
        self.orders = []
        self.counts = {}

    def fail(self, what):
        self.failures.append("%.3f %s" % (time.time(), what))
        print("FAILED:", what, flush=True)

    @staticmethod
    def seal(worker, request):
        return "%s.%s" % (worker, request)

    @staticmethod
    def body(request):
        return ("answer to %s " % request).encode() * 20

    @staticmethod
    def event(request, number):
        return b"id: %d\ndata: %s-%d\n\n" % (number, request.encode(), number)

    def on_run(self, worker, request, method, target, body):
        known = self.sent.get(request)
        if known is None or known["asked"] != (method, target, body):
            self.fail("%s ran a request that no caller sent: %s %s" % (worker, request, target))
            return
        self.runs[request] = self.runs.get(request, 0) + 1
        if not known["idempotent"] and self.runs[request] > 1:
            self.fail("%s ran %d times" % (request, self.runs[request]))
        if request in self.not_run:
            self.fail("%s ran after its caller was told that it had not run" % request)

    def on_order(self, worker, order):
        now = time.monotonic()
        for at, holder, fence in self.orders[-20:]:
            if holder != order["holder"] and fence == order["fence"]:
                self.fail("two holders sent orders with fencing number %d" % fence)
            if holder != order["holder"] and now - at < MIN_HOLDER_CHANGE_S:
                self.fail("two holders sent orders within %.1f s" % (now - at))
            if fence > order["fence"]:
                self.fail("fencing number %d after %d" % (order["fence"], fence))
        self.orders.append((now, order["holder"], order["fence"]))

    def on_answer(self, request, status, headers, body, whole):
        known = self.sent[request]
        self.counts[status if whole else "cut"] = self.counts.get(status if whole else "cut", 0) + 1
        if status in (408, 421, 429, 503) and not known["idempotent"]:
            self.not_run.add(request)
            if self.runs.get(request, 0):
                self.fail("%s was reported as not run with %d but had run" % (request, status))
        if status not in (200, 404) or not known["asked"][1].startswith("/"):
            return
        if status == 404:
            return self.fail("%s got 404" % request)
        if not headers.get("x-hawthorndrum-response-seal", "").endswith("." + request):
            return self.fail("%s got a success without its worker's seal" % request)
        if known["asked"][1].startswith("/stream/"):
            want = b"".join(self.event(request, n) for n in range(1, self.EVENTS + 1))
            correct = body == want if whole else want.startswith(body)
        else:
            correct = body == self.body(request) or not whole
        if not correct:
            self.fail("%s got %r" % (request, body[-80:]))


class Soak:
    def __init__(self, options):
        self.options = options
        self.rng = random.Random(options.seed)
        self.records = Records()
        self.store = Store(random.Random(options.seed + 1))
        self.gateways, self.workers, self.proxies = [], {}, {}
        self.version, self.number, self.folder = 1, 0, tempfile.mkdtemp(prefix="soak-")
        self.faults_stopped, self.finished = False, False

    async def start_worker(self, service, stage):
        self.number += 1
        worker = Worker(self.records, random.Random(self.options.seed * 1000 + self.number),
                        "w%d" % self.number, service, stage)
        proxy = FaultProxy(await worker.start())
        address = "127.0.0.1:%d" % await proxy.start()
        self.workers[worker.name], self.proxies[worker.name] = worker, proxy
        worker.address = address
        worker.on_stage_changed = lambda w: asyncio.ensure_future(
            self.store.put("servers", w.name, w.entry(w.address, "ready")))
        await self.store.put("servers", worker.name, worker.entry(address, "ready"))

    async def configure(self):
        self.version += self.rng.randrange(1, 4)
        routes = [dict(r, host=HOST, timeout_ms=3000, goal_ms=500, priority=1) for r in ROUTES]
        engine = {"slots": 16, "kv_capacity": 500000, "kv_token_bytes": 1000, "link_mbps": 1e6}
        services = [{"name": "llm", "max_conns": 300, "engine": engine},
                    {"name": "desk", "max_conns": 300}]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "idle_timeout_ms": 15000}
        await self.store.put("config", "main", {"version": self.version, "routes": routes,
                                                "services": services, "limits": limits})

    def start_gateway(self, gateway):
        log = open(gateway["log"], "ab")
        gateway["process"] = subprocess.Popen(
            [self.options.binary, "--settings", gateway["settings"]], stdout=log, stderr=log)
        gateway["stopped"] = False

    async def make_gateway(self, index):
        ports = []
        for kind in (socket.SOCK_STREAM, socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as free:
                free.bind(("127.0.0.1", 0))
                ports.append(free.getsockname()[1])
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        proxy = FaultProxy(server.sockets[0].getsockname()[1])
        store = await proxy.start()
        name = os.path.join(self.folder, "gateway-%d" % index)
        with open(name + ".yaml", "w", encoding="utf-8") as settings:
            settings.write("host: g%d\ndata_centre: z1\ncallers: 127.0.0.1:%d\n"
                           "readiness: 127.0.0.1:%d\nnotices: 127.0.0.1:%d\nstore: 127.0.0.1:%d\n"
                           "stop_grace: 6s\nretries:\n  ratio: 0.5\n  reserve: 200\n"
                           % (index, ports[0], ports[1], ports[2], store))
        gateway = {"settings": name + ".yaml", "log": name + ".log", "port": ports[0],
                   "store": proxy, "process": None}
        self.start_gateway(gateway)
        self.gateways.append(gateway)

    async def client(self, index):
        rng = random.Random(self.options.seed * 77 + index)
        connection = None
        while not self.finished:
            port = rng.choice(self.gateways)["port"]
            try:
                if connection is None or rng.random() < 0.2:
                    if connection:
                        connection[1].close()
                    connection = await asyncio.wait_for(
                        asyncio.open_connection("127.0.0.1", port), 1)
                if not await asyncio.wait_for(self.send_request(rng, connection), 6):
                    connection = None
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError,
                    IndexError):
                if connection:
                    connection[1].transport.abort()
                connection = None
            await asyncio.sleep(rng.uniform(0, 0.05))

    async def send_request(self, rng, connection):
        reader, writer = connection
        self.number += 1
        request = "q%d" % self.number
        prefix = rng.choice(["/look/", "/pay/", "/stream/tell/", "/stream/note/"])
        body = b"" if prefix == "/look/" else os.urandom(rng.randrange(1, 2000))
        method, target = "GET" if prefix == "/look/" else "POST", prefix + request
        self.records.sent[request] = {"asked": (method, target, body),
                                      "idempotent": prefix in ("/look/", "/stream/tell/")}
        lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + HOST,
                 "X-Hawthorndrum-Request-Id: " + request, "X-Hawthorndrum-Deadline-Ms: 3000",
                 "X-Hawthorndrum-Kv-Hold: forged", "Content-Length: %d" % len(body)]
        if prefix.startswith("/stream/"):
            own = rng.randrange(10, 4000)
            lines += ["X-Hawthorndrum-Token-Count: %d,50" % (3000 + own),
                      "X-Hawthorndrum-Prompt-Prefix: a%d:3000,%x:%d"
                      % (rng.randrange(20), self.number, own)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return await self.read_answer(request, reader)

    async def read_answer(self, request, reader):
        """Reads the answer; returns whether the connection may be reused."""
        status, headers, body, whole = 0, {}, b"", False
        try:
            first = (await reader.readline()).split()
            if not first:
                return False
            if not first[0].startswith(b"HTTP/1.1"):
                self.records.fail("%s got bytes that are no HTTP answer: %r" % (request, first))
                return False
            status = int(first[1])
            while True:
                line = await reader.readline()
                if line in (b"\r\n", b""):
                    break
                name, _, value = line.decode("latin-1").partition(":")
                headers[name.strip().lower()] = value.strip()
            if headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await reader.readline()), 16)
                    chunk = await reader.readexactly(size + 2)
                    if size == 0:
                        break
                    body += chunk[:-2]
            else:
                body = await reader.readexactly(int(headers["content-length"]))
            whole = True
        except (ValueError, KeyError, ConnectionError, asyncio.IncompleteReadError):
            pass
        if status:
            self.records.on_answer(request, status, headers, body, whole)
        return whole and headers.get("connection", "").lower() != "close"

    async def faults(self):
        kinds = [self.kill, self.pause, self.terminate, self.disturb_store, self.disturb_worker,
                 self.crash_worker, self.drain_worker, self.corrupt_worker, self.store_fault,
                 self.discard_store_history, self.configure, self.reload]
        tasks = []
        while not self.faults_stopped:
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
            tasks.append(asyncio.ensure_future(self.rng.choice(kinds)()))
        await asyncio.gather(*tasks)

    async def kill(self):
        gateway = self.rng.choice(self.gateways)
        gateway["process"].send_signal(signal.SIGKILL)
        await self.restart(gateway)

    async def terminate(self):
        gateway = self.rng.choice(self.gateways)
        gateway["process"].send_signal(signal.SIGTERM)
        await self.restart(gateway)

    async def restart(self, gateway):
        process = gateway["process"]
        while process.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.rng.uniform(0.1, 1))
        if gateway["process"] is process:
            self.start_gateway(gateway)

    async def pause(self):
        process = self.rng.choice(self.gateways)["process"]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 5))
        process.send_signal(signal.SIGCONT)

    async def reload(self):
        self.rng.choice(self.gateways)["process"].send_signal(signal.SIGHUP)

    async def inject_proxy_fault(self, proxy):
        if self.rng.random() < 0.3:
            return proxy.reset()
        proxy.mode = self.rng.choice(["delay", "silence", "forth", "back", "refuse"])
        await asyncio.sleep(self.rng.uniform(0.2, 4))
        proxy.mode = None

    async def disturb_store(self):
        await self.inject_proxy_fault(self.rng.choice(self.gateways)["store"])

    def random_worker(self):
        return self.rng.choice([w for w in self.workers.values() if w.alive])

    async def disturb_worker(self):
        await self.inject_proxy_fault(self.proxies[self.random_worker().name])

    async def crash_worker(self):
        worker = self.random_worker()
        worker.crash()
        await asyncio.sleep(self.rng.uniform(0, 2))
        await self.store.delete("servers", worker.name)
        await self.start_worker(worker.service, worker.stage)

    async def drain_worker(self):
        worker = self.random_worker()
        await self.start_worker(worker.service, worker.stage)
        await self.store.put("servers", worker.name, worker.entry(worker.address, "draining"))
        await asyncio.sleep(3)
        await self.store.delete("servers", worker.name)
        worker.alive = False
        worker.server.close()

    async def corrupt_worker(self):
        worker = self.random_worker()
        worker.fault = self.rng.choice(["refuse", "cut", "extra", "error"])
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        worker.fault = None

    async def store_fault(self):
        self.store.fault = self.rng.choice(["busy", "lost"])
        await asyncio.sleep(self.rng.uniform(0.2, 4))
        self.store.fault = None

    async def discard_store_history(self):
        self.store.discard_history()

    async def run(self):
        for _ in range(ENGINES):
            await self.start_worker("llm", "decode")
        for _ in range(DESKS):
            await self.start_worker("desk", None)
        await self.configure()
        for index in range(GATEWAYS):
            await self.make_gateway(index)
        await asyncio.sleep(2)
        clients = [asyncio.ensure_future(self.client(i)) for i in range(CLIENTS)]
        faults = asyncio.ensure_future(self.faults())
        await asyncio.sleep(self.options.seconds)
        self.faults_stopped = True
        await faults
        await asyncio.sleep(4)
        before = dict(self.records.counts)
        await asyncio.sleep(2)
        good = self.records.counts.get(200, 0) - before.get(200, 0)
        all_answers = sum(self.records.counts.values()) - sum(before.values())
        if all_answers == 0 or good < 0.9 * all_answers:
            self.records.fail("after the faults only %d of %d answers were successful"
                              % (good, all_answers))
        self.finished = True
        await asyncio.gather(*clients)
        for gateway in self.gateways:
            gateway["process"].send_signal(signal.SIGTERM)
        for gateway in self.gateways:
            while gateway["process"].poll() is None:
                await asyncio.sleep(0.05)
            if gateway["process"].returncode != 0:
                self.records.fail("a gateway exited with code %d" % gateway["process"].returncode)
        print("seed %d: %d requests, answers %s, %d orders, %d failures; logs in %s" % (
            self.options.seed, len(self.records.sent), self.records.counts,
            len(self.records.orders), len(self.records.failures), self.folder), flush=True)
        return 1 if self.records.failures else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--binary", default="build/hawthorndrum-gateway")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    soak = Soak(parser.parse_args())
    try:
        return asyncio.run(soak.run())
    finally:
        for gateway in soak.gateways:
            if gateway["process"].poll() is None:
                gateway["process"].send_signal(signal.SIGCONT)
                gateway["process"].kill()


if __name__ == "__main__":
    sys.exit(main())
