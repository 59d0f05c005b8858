"""Restarts gateways beside an entry of another writer, in a list of more than one part.

  python3 tests/odd_entries/odd_entries.py --binary build/hawthorndrum-gateway

Each case has a store, four workers and two gateways of its own. The entry ends the first part of the
list of workers, and those before it are draining. Once all gateways were killed and started again, all
requests must be served by the workers that are listed behind it. Exits with 0 if all cases held.
"""

import argparse
import asyncio
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), os.pardir, "soak"))
from fault_proxy import Ports  # noqa: E402
from http_messages import answer, read_message  # noqa: E402
from store_standin import Store  # noqa: E402

HOST = "shop.example"
WORKERS = ["w1", "w2", "w3", "w4"]
BEHIND = {"w3", "w4"}  # The workers that are listed behind the entry.
MAX_ITEMS = 3  # Objects in one part of a list, so that the entry ends the first.
# All of them sort between w2 and w3.
NAMES = ["w2&", "w2+", "w2#", "w2%", "w2 ", "w2 &+#%", "w2%2B", "w2&after=w4", "w2?watch=1",
         "w2\r\nX: y", "w2\u00e4"]
BODY = b"whole"
GATEWAYS = 2
REQUESTS = 40
READY_S = 12  # recover_s of the deployments.
REQUEST_S = 3
CASES_AT_ONCE = 4


class Worker:
    """A worker of a plain service that counts what it runs."""

    def __init__(self, name):
        self.name, self.runs = name, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)

    def entry(self, state):
        return {"service": "desk", "zone": "z1", "version": "v1", "slots": 16, "state": state,
                "addr": "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1],
                "cold_left_ms": 0, "seq": 1, "born": 1}

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                request = message[1].get("x-hawthorndrum-request-id", "")
                self.runs += bool(request)
                writer.write(answer(200, {"X-Hawthorndrum-Request-Id": request,
                                          "X-Hawthorndrum-Instance-Id": self.name,
                                          "X-Hawthorndrum-Response-Seal": self.name}, BODY))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        writer.close()


class Gateway:
    def __init__(self, binary, folder, ports, number, store_port):
        self.binary, self.callers, self.readiness = binary, ports.next(), ports.next()
        self.settings = os.path.join(folder, "gateway-%d.yaml" % number)
        self.log = os.path.join(folder, "gateway-%d.log" % number)
        with open(self.settings, "w", encoding="utf-8") as settings:
            settings.write("host: g%d\ndata_centre: z1\ncallers: 127.0.0.1:%d\n"
                           "readiness: 127.0.0.1:%d\nnotices: 127.0.0.1:%d\nstore: 127.0.0.1:%d\n"
                           "stop_grace: 2s\n" % (number, self.callers, self.readiness, ports.next(),
                                                 store_port))

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([self.binary, "--settings", self.settings],
                                            stdout=log, stderr=log)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    async def wait_until_ready(self):
        """Returns once it is ready; requests show whether it became so in time."""
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            got = await request(self.readiness, "/api/ready", "")
            if got and got[0] == 200:
                return
            await asyncio.sleep(0.05)


async def request(port, target, name):
    """Returns the status, headers and body of an answer on a connection of its own; None without one."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(("GET %s HTTP/1.1\r\nHost: %s\r\nX-Hawthorndrum-Request-Id: %s\r\n"
                          "X-Hawthorndrum-Deadline-Ms: 2000\r\n\r\n" % (target, HOST, name)).encode())
            message = await read_message(reader)
            return message and (int(message[0][1]), message[1], message[2])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), REQUEST_S)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


def configuration():
    route = {"name": "look", "path_prefix": "/look/", "kind": "safe", "service": "desk",
             "attempts": 2, "host": HOST, "timeout_ms": 2000, "goal_ms": 500, "priority": 1}
    return {"version": 3, "routes": [route], "services": [{"name": "desk", "max_conns": 100}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                       "idle_timeout_ms": 15000}}


class Case:
    """One entry, in a store that reads percent-encoded characters or rejects them."""

    def __init__(self, options, ports, name, accepts_escapes):
        self.options, self.ports, self.name = options, ports, name
        self.store = Store(random.Random(1))
        self.store.accepts_escapes, self.store.max_items = accepts_escapes, options.max_items
        self.label = "%r, escapes %s" % (name, "read" if accepts_escapes else "rejected")

    async def serve_store(self, reader, writer):
        await self.store.serve(0, reader, writer)

    async def run(self):
        """Returns whether it held."""
        server = await asyncio.start_server(self.serve_store, "127.0.0.1", 0)
        workers = [Worker(name) for name in WORKERS]
        for worker in workers:
            await worker.start()
            await self.store.put("servers", worker.name, worker.entry("ready"))
        await self.store.put("config", "main", configuration())
        folder = tempfile.mkdtemp(prefix="odd-entries-")
        gateways = [Gateway(self.options.binary, folder, self.ports, number,
                            server.sockets[0].getsockname()[1]) for number in range(GATEWAYS)]
        try:
            before = await self.serve(gateways, "a")
            await self.store.put("servers", self.name, {"kind": "shelf", "yard": "north"})
            for gateway in gateways:
                gateway.kill()
            for worker in workers:
                worker.runs = 0
                if worker.name not in BEHIND:
                    await self.store.put("servers", worker.name, worker.entry("draining"))
            after = await self.serve(gateways, "b")
        finally:
            for gateway in gateways:
                gateway.kill()
        used = {worker.name for worker in workers if worker.runs}
        held = before == after == REQUESTS and used <= BEHIND
        print("%s %s: %d of %d served before, %d after, by %s" % (
            "held  " if held else "FAILED", self.label, before, REQUESTS, after, sorted(used)),
              flush=True)
        if held:
            shutil.rmtree(folder)
        else:
            print("logs in %s" % folder, flush=True)
        return held

    @staticmethod
    async def serve(gateways, prefix):
        """Starts the gateways and sends them requests; returns how many were served."""
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        answers = await asyncio.gather(*[
            request(gateways[number % GATEWAYS].callers, "/look/x", "%s%d" % (prefix, number))
            for number in range(REQUESTS)])
        return sum(got is not None and got[0] == 200 and got[2] == BODY
                   and got[1].get("x-hawthorndrum-response-seal") in WORKERS for got in answers)


async def run(options):
    ports = Ports()
    slots = asyncio.Semaphore(CASES_AT_ONCE)

    async def run_one(name, accepts_escapes):
        async with slots:
            return await Case(options, ports, name, accepts_escapes).run()

    held = await asyncio.gather(*[run_one(name, accepts_escapes) for name in NAMES
                                  for accepts_escapes in (True, False)])
    print("%d held, %d failed" % (held.count(True), held.count(False)))
    return 0 if all(held) else 1


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--binary", default="build/hawthorndrum-gateway")
    parser.add_argument("--max-items", type=int, default=MAX_ITEMS)
    return asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
