"""A small platform on loopback for the review's scripts.

Starts hawthorndrum-gateway processes with the command of the deploy file, in front of stand-ins that
follow the platform's pages: the object store, plain workers, the API for duties and
requesters. Everything but the gateways runs in the script's own process, so the checks read directly
what requesters, workers and the platform have seen.
"""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from standins import (BROKEN_CONNECTION, Platform, Store, Worker, answer, read_message,  # noqa: F401
                      split)

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "hawthorndrum-gateway")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class Addresses:
    """Loopback addresses that no other process uses: a block of 127.x.y.0/24 for each run."""

    def __init__(self):
        self.rng = random.Random(os.urandom(8))
        self.block = "127.%d.%d" % (self.rng.randrange(10, 250), self.rng.randrange(1, 250))
        self.number = 0
        self.port = self.rng.randrange(7000, 20000)

    def ip(self):
        self.number += 1
        return "%s.%d" % (self.block, self.number)

    def on(self, ip):
        """Returns ip:port with a port that is free for TCP and UDP."""
        while True:
            self.port += 1
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as free:
                        free.bind((ip, self.port))
                return "%s:%d" % (ip, self.port)
            except OSError:
                continue


class Gateway:
    """One machine with its gateway process."""

    def __init__(self, rig, index, zone):
        self.rig, self.index, self.zone = rig, index, zone
        self.name = "front-%s-%d" % (zone, index)
        self.ip = rig.addresses.ip()
        self.front, self.ready, self.inner, self.metrics = (
            rig.addresses.on(self.ip) for _ in range(4))
        self.settings = os.path.join(rig.folder, self.name + ".yaml")
        self.log = os.path.join(rig.folder, self.name + ".log")
        self.process = None

    def write_settings(self):
        """The template platform/settings.yaml.in, filled in."""
        bounds = self.rig.bounds
        text = ('host: "%s"\ndata_centre: "%s"\ncallers: "%s"\nreadiness: "%s"\nnotices: "%s"\n'
                'metrics: "%s"\nstore: "%s"\nstop_grace: %ds\nleaving_known_within: %dms\n'
                'file_limit: 4100\nmemory: %dMiB\nretries:\n  ratio: %g\n  reserve: %d\n'
                '  window: %ds\n' % (
                    self.name, self.zone, self.front, self.ready, self.inner, self.metrics,
                    self.rig.store_address, bounds["grace_s"], bounds["drain_ms"],
                    bounds["memory_mb"], bounds["retry_ratio"], bounds["retry_slack"],
                    bounds["retry_window_s"]))
        if self.rig.duties:
            text += ('duties:\n  platform: "%s"\n  take: "%s"\n  calls_per_second: 50\n'
                     '  usage_window: %ds\n  usage_lateness: %ds\n' % (
                         self.rig.platform.address, self.rig.duties, bounds["usage_window_s"],
                         bounds["usage_late_s"]))
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        self.write_settings()
        log = open(self.log, "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.rig.folder,
                       "HAWTHORNDRUM_SETTINGS": self.settings}
        self.process = subprocess.Popen([BINARY], stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        cwd=ROOT, env=environment)
        log.close()
        self.rig.record.write("start %s, process %d" % (self.name, self.process.pid))

    def send_signal(self, which):
        if self.process and self.process.poll() is None:
            self.process.send_signal(which)
            self.rig.record.write("signal %d to %s" % (which, self.name))

    async def wait_ended(self, within_s):
        end = time.monotonic() + within_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll()

    async def is_ready(self):
        try:
            opened = asyncio.open_connection(*split(self.ready))
            reader, writer = await asyncio.wait_for(opened, 1)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Answer:
    def __init__(self, request):
        self.request, self.status, self.headers, self.body = request, 0, {}, b""
        self.whole, self.failure, self.sent_at, self.took_s = False, None, time.monotonic(), 0.0


class Requester:
    """Sends requests on a kept channel to one gateway."""

    def __init__(self, rig, gateway):
        self.rig, self.gateway, self.channel = rig, gateway, None

    async def send(self, method, path, headers=(), body=b"", time_limit_ms=3000, request=None,
                   on_bytes=None):
        request = request or "%016x" % self.rig.rng.getrandbits(64)
        result = Answer(request)
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
                 "X-Hawthorndrum-Request-Id: " + request,
                 "X-Hawthorndrum-Deadline-Ms: %d" % time_limit_ms]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        lines += headers
        self.rig.record.write("send %s to %s: %s %s" % (request, self.gateway.name, method, path))
        keeps = False
        try:
            if self.channel is None:
                opened = asyncio.open_connection(*split(self.gateway.front))
                self.channel = await asyncio.wait_for(opened, 1)
            reader, writer = self.channel
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            keeps = await asyncio.wait_for(self.read(reader, result, on_bytes),
                                           time_limit_ms / 1000)
        except asyncio.TimeoutError:
            result.failure = "time limit"
        except BROKEN_CONNECTION as failed:
            result.failure = "channel closed: %r" % failed
        result.took_s = time.monotonic() - result.sent_at
        if not keeps:
            self.drop()
        self.rig.record.write("answered %s: status %d, whole %s, %s, %.0f ms, %r" % (
            request, result.status, result.whole, result.failure or "no failure",
            result.took_s * 1000, result.body[:200]))
        return result

    def drop(self):
        if self.channel:
            self.channel[1].transport.abort()
        self.channel = None

    async def read(self, reader, result, on_bytes):
        line = await reader.readline()
        if not line:
            result.failure = "channel closed without an answer"
            return False
        result.status = int(line.split()[1])
        while True:
            line = await reader.readline()
            if line in (b"\r\n", b""):
                break
            name, _, value = line.decode("latin-1").partition(":")
            result.headers[name.strip().lower()] = value.strip()
        if result.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                result.body += chunk[:-2]
                if on_bytes:
                    on_bytes(result)
        else:
            result.body = await reader.readexactly(int(result.headers["content-length"]))
        result.whole = True
        return result.headers.get("connection", "").lower() != "close"


class Rig:
    BOUNDS = {"grace_s": 8, "drain_ms": 2000, "memory_mb": 260, "retry_ratio": 0.2,
              "retry_slack": 56, "retry_window_s": 10, "usage_window_s": 5, "usage_late_s": 10}

    def __init__(self, case_folder, bounds=None, duties=""):
        self.record = Record(case_folder)
        self.rng = random.Random(os.urandom(8))
        self.addresses = Addresses()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.bounds = dict(self.BOUNDS, **(bounds or {}))
        self.duties = duties
        self.store = Store(self.record)
        self.platform = Platform(self.record)
        self.gateways, self.workers = [], []
        self.store_address = None
        self.config = {"version": 0}

    async def open(self):
        self.store_address = self.addresses.on(self.addresses.ip())
        await self.store.start(self.store_address)
        await self.platform.start(self.addresses.on(self.addresses.ip()))

    def new_address(self):
        return self.addresses.on(self.addresses.ip())

    async def add_worker(self, worker):
        await worker.start()
        self.workers.append(worker)
        await self.store.put("servers", worker.name, worker.entry())
        return worker

    async def configure(self, routes, services, tenants=None, limits=None):
        """Writes the next configuration, as the operator does."""
        self.config = {"version": self.config["version"] + 3, "routes": routes,
                       "services": services,
                       "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                                            "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}
        if tenants is not None:
            self.config["tenants"] = tenants
        await self.store.put("config", "main", self.config)

    async def start_gateways(self, zones):
        for index, zone in enumerate(zones):
            gateway = Gateway(self, index, zone)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            gateway.start()

    async def wait_ready(self, within_s=10, gateways=None):
        end = time.monotonic() + within_s
        wanted = gateways or self.gateways
        while time.monotonic() < end:
            if all([await each.is_ready() for each in wanted]):
                return True
            await asyncio.sleep(0.2)
        return False

    def close(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs of the gateways: %s" % self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout_ms=3000, attempts=1, resumable=False, goal_ms=300):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "service": service,
            "timeout_ms": timeout_ms, "goal_ms": goal_ms, "attempts": attempts, "priority": 1,
            "resumable": resumable, "no_auth": False, "gap_aim_ms": 200,
            "sticky": kind == "stream"}


def run(case_folder, main, **options):
    """Runs `main(rig)` and ends with its result: 0 held, 1 broken, 2 could not run."""

    def end(rig):
        rig.close()
        os._exit(COULD_NOT_RUN)

    async def whole():
        rig = Rig(case_folder, **options)
        code = COULD_NOT_RUN
        for stop in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(stop, end, rig)
        try:
            await rig.open()
            code = await asyncio.wait_for(main(rig), 115)
        except Exception as failed:  # Whatever it is, the case has shown nothing.
            rig.record.say("the case could not run: %r" % failed)
        rig.close()
        rig.record.say("result %d" % code)
        sys.stdout.flush()
        os._exit(code)  # Requesters may still be waiting for answers.

    if not os.path.exists(BINARY):
        print("target/hawthorndrum-gateway is not built")
        sys.exit(COULD_NOT_RUN)
    asyncio.run(whole())
