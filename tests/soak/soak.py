"""Randomized fault soak of hawthorndrum-gateway: real processes, faults from outside.

  python3 tests/soak/soak.py --binary build/hawthorndrum-gateway --seed 1 --seconds 20

Starts gateway processes in front of platform stand-ins, sends requests, injects faults by signals,
loopback proxies and the stand-ins, and continuously checks what callers and workers see. The seed
determines the kinds and times of the faults; their interleaving with requests varies between runs.
Exits with 0 if no check failed. It ends only processes that it started, by their ids.
"""

import argparse
import asyncio
import functools
import os
import random
import signal
import subprocess
import sys
import tempfile

from caller import HOST, Caller
from config_storms import ConfigStorms
from duty_records import LATENESS_S, WINDOW_S, PlatformApi
from fault_proxy import FaultProxy, Ports
from gateway_cuts import GatewayCuts
from platform_standin import Store, Worker
from records import Records
from team_keys import CONFIG_BOUND_S, OPEN_ROUTES
from worker_statements import WorkerStatements

GATEWAYS = 4
ENGINES = 6
DESKS = 3
CALLERS = 12
DEADLINE_S = 3
STOP_GRACE_S = 6
MAX_SILENCE_S = 1.6
ROUTES = [
    {"name": "look", "path_prefix": "/look/", "kind": "safe", "service": "desk", "attempts": 2},
    {"name": "pay", "path_prefix": "/pay/", "kind": "unsafe", "service": "desk", "attempts": 1},
    {"name": "tell", "path_prefix": "/stream/tell/", "kind": "stream", "service": "llm",
     "attempts": 2, "resumable": True, "gap_aim_ms": 200},
    {"name": "note", "path_prefix": "/stream/note/", "kind": "stream", "service": "llm",
     "attempts": 1, "resumable": False, "gap_aim_ms": 200}]


class Soak:
    def __init__(self, options):
        self.options = options
        self.rng = random.Random(options.seed)
        self.records = Records(options.seed)
        self.ports = Ports()
        self.disturbances = self.records.disturbances
        self.store = Store(random.Random(options.seed + 1))
        self.gateways, self.workers, self.proxies, self.callers = [], {}, {}, []
        # Every third run has one software version of the engines, the others have two or three.
        self.software = ["v1", "v1.1", "v1.2"][: 1 + (self.options.seed + 2) % 3]
        self.version, self.number, self.folder = 1, 0, tempfile.mkdtemp(prefix="soak-")
        self.cuts = GatewayCuts(self, GATEWAYS)
        self.api = PlatformApi(self.records, random.Random(options.seed + 4))
        self.crashing_part = None  # A part of prompts that crashes engines.
        self.faults_stopped, self.silences_stopped, self.finished = False, False, False

    def next_name(self, letter):
        self.number += 1
        return "%s%d" % (letter, self.number)

    async def start_worker(self, service, stage, version="v1"):
        name = self.next_name("w")
        worker = Worker(self.records, random.Random(self.options.seed * 1000 + self.number),
                        name, service, stage, version)
        self.records.versions[name] = version
        port = await worker.start()
        proxies = [FaultProxy(self.ports.next(), port, lambda: self.disturbances.note("workers"),
                              functools.partial(self.on_connected, worker, index))
                   for index in range(GATEWAYS)]
        address = ["127.0.0.1:%d" % await proxy.start() for proxy in proxies]
        self.cuts.apply(proxies)
        self.workers[worker.name], self.proxies[worker.name] = worker, proxies
        worker.address = address
        worker.on_crashed = self.on_part_crashed
        worker.on_stage_changed = lambda w: asyncio.ensure_future(
            self.store.put("servers", w.name, w.entry(w.address, "ready")))
        await self.store.put("servers", worker.name, worker.entry(address, "ready"))

    @staticmethod
    def on_connected(worker, gateway, port):
        worker.gateways[port] = gateway

    async def configure(self, change=None):
        """Writes a configuration; `change` may alter it before."""
        self.version += self.rng.randrange(1, 4)
        routes = [dict(r, host=HOST, timeout_ms=3000, goal_ms=500, priority=1,
                       no_auth=r["path_prefix"] in OPEN_ROUTES) for r in ROUTES]
        engine = {"slots": 16, "kv_capacity": 500000, "kv_token_bytes": 1000, "link_mbps": 1e6}
        services = [{"name": "llm", "max_conns": 300, "engine": engine},
                    {"name": "desk", "max_conns": 300}]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "idle_timeout_ms": 15000}
        spec = {"version": self.version, "routes": routes, "services": services, "limits": limits,
                "tenants": self.records.keys.spec()}
        if change:
            change(spec)
        await self.store.put("config", "main", spec)
        self.records.keys.written()

    async def take_key_away(self):
        self.records.keys.replace_some()
        await self.configure()

    async def take_key_away_beyond_the_store(self):
        """Takes a key away while the store turns half of the gateways away, without other faults."""
        self.store.refused = set(self.rng.sample(range(GATEWAYS), GATEWAYS // 2))
        await asyncio.sleep(0.5)
        await self.take_key_away()
        await asyncio.sleep(CONFIG_BOUND_S + 2)

    async def refuse_some(self):
        """Lets the store turn some gateways away; the others bring them configurations."""
        refused = set(self.rng.sample(range(GATEWAYS), 2))
        self.store.refused |= refused
        await asyncio.sleep(self.rng.uniform(1, 6))
        self.store.refused -= refused

    def start_gateway(self, gateway):
        log = open(gateway["log"], "ab")
        gateway["process"] = subprocess.Popen(
            [self.options.binary, "--settings", gateway["settings"]], stdout=log, stderr=log)
        gateway["stopped"] = False

    async def make_gateway(self, index):
        ports = [self.ports.next() for _ in range(3)]
        server = await asyncio.start_server(functools.partial(self.store.serve, index),
                                            "127.0.0.1", 0)
        proxy = FaultProxy(self.ports.next(), server.sockets[0].getsockname()[1])
        store = await proxy.start()
        api = await asyncio.start_server(functools.partial(self.api.serve, index), "127.0.0.1", 0)
        self.api.ports[index] = ports[0]
        name = os.path.join(self.folder, "gateway-%d" % index)
        with open(name + ".yaml", "w", encoding="utf-8") as settings:
            settings.write("host: g%d\ndata_centre: z1\ncallers: 127.0.0.1:%d\n"
                           "readiness: 127.0.0.1:%d\nnotices: 127.0.0.1:%d\nstore: 127.0.0.1:%d\n"
                           "stop_grace: %ds\nretries:\n  ratio: 0.5\n  reserve: 200\n"
                           "duties:\n  platform: 127.0.0.1:%d\n  take: usage\n"
                           "  calls_per_second: 50\n  usage_window: %ds\n  usage_lateness: %ds\n"
                           % (index, *ports, store, STOP_GRACE_S,
                              api.sockets[0].getsockname()[1], WINDOW_S, LATENESS_S))
        gateway = {"settings": name + ".yaml", "log": name + ".log", "port": ports[0],
                   "store": proxy, "process": None}
        self.start_gateway(gateway)
        self.gateways.append(gateway)

    async def faults(self):
        kinds = [self.kill, self.pause, self.terminate, self.disturb_store, self.disturb_worker,
                 self.crash_worker, self.drain_worker, self.corrupt_worker, self.store_fault,
                 self.discard_store_history, self.configure, self.reload, self.take_key_away,
                 self.take_key_away, self.refuse_some]
        if len(self.software) > 1:
            kinds.append(self.release)
        tasks = []
        while not self.faults_stopped:
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
            tasks.append(asyncio.ensure_future(self.rng.choice(kinds)()))
        await asyncio.gather(*tasks)

    async def kill(self):
        gateway = self.rng.choice(self.gateways)
        interval = self.disturbances.begin("gateway-%d" % gateway["port"])
        gateway["process"].send_signal(signal.SIGKILL)
        await self.restart(gateway)
        self.disturbances.end(interval)

    async def terminate(self):
        gateway = self.rng.choice(self.gateways)
        late = STOP_GRACE_S - DEADLINE_S  # Requests that are sent sooner end within the grace.
        interval = self.disturbances.begin("gateway-%d" % gateway["port"], late)
        gateway["process"].send_signal(signal.SIGTERM)
        await self.restart(gateway)
        self.disturbances.end(interval)

    async def restart(self, gateway):
        stopping = self.disturbances.begin("stopping-%d" % gateway["port"])
        process = gateway["process"]
        while process.poll() is None:
            await asyncio.sleep(0.05)
        if process.returncode not in (0, -signal.SIGKILL):
            self.records.fail("a gateway exited with code %d" % process.returncode)
        await asyncio.sleep(self.rng.uniform(0.1, 1))
        if gateway["process"] is process:
            self.start_gateway(gateway)
        self.disturbances.end(stopping)

    async def pause(self):
        gateway = self.rng.choice(self.gateways)
        interval = self.disturbances.begin("gateway-%d" % gateway["port"])
        frozen = self.disturbances.begin("frozen-%d" % gateway["port"])
        process = gateway["process"]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.1, 5))
        process.send_signal(signal.SIGCONT)
        self.disturbances.end(frozen)
        self.disturbances.end(interval)

    async def reload(self):
        self.rng.choice(self.gateways)["process"].send_signal(signal.SIGHUP)

    async def inject_proxy_fault(self, proxies, scope):
        if self.rng.random() < 0.3:
            self.disturbances.note(scope)
            for proxy in proxies:
                proxy.reset()
            return
        interval = self.disturbances.begin(scope)
        mode = self.rng.choice(["delay", "silence", "forth", "back", "refuse"])
        for proxy in proxies:
            proxy.mode = mode
        await asyncio.sleep(self.rng.uniform(0.2, 4))
        for proxy in proxies:
            # A cut that began meanwhile goes on.
            if proxy.mode == mode and not proxy.plug:
                proxy.mode = None
        self.disturbances.end(interval)

    async def disturb_store(self):
        gateway = self.rng.choice(self.gateways)
        await self.inject_proxy_fault([gateway["store"]], "gateway-%d" % gateway["port"])

    def random_worker(self):
        return self.rng.choice([w for w in self.workers.values() if w.alive])

    async def disturb_worker(self):
        """Disturbs the links of a worker to all gateways, or to one."""
        worker = self.random_worker()
        proxies = self.proxies[worker.name]
        if self.rng.random() < 0.3:
            proxies = [self.rng.choice(proxies)]
        interval = self.disturbances.begin(worker.name)
        await self.inject_proxy_fault(proxies, "workers")
        self.disturbances.end(interval)

    async def crash_worker(self):
        worker = self.random_worker()
        self.disturbances.note("workers")
        self.disturbances.begin(worker.name)
        worker.crash()
        self.close_links(worker)
        await asyncio.sleep(self.rng.uniform(0, 2))
        await self.store.delete("servers", worker.name)
        await self.start_worker(worker.service, worker.stage, worker.version)

    def on_part_crashed(self, worker, part):
        self.close_links(worker)
        self.records.on_part_crash(part)
        self.disturbances.note("workers")
        self.disturbances.begin(worker.name)
        asyncio.ensure_future(self.replace_crashed(worker))

    def close_links(self, worker):
        """Lets new connections to a worker that is gone be refused, as its port would."""
        for proxy in self.proxies[worker.name]:
            proxy.server.close()

    async def replace_crashed(self, worker):
        await asyncio.sleep(self.rng.uniform(0.3, 1))
        await self.store.delete("servers", worker.name)
        await self.start_worker(worker.service, worker.stage, worker.version)

    async def crash_by_part(self):
        """Has callers send prompts with a part that crashes engines until the faults end."""
        await asyncio.sleep(self.options.seconds * 0.3)
        self.crashing_part = "bad%x" % (self.options.seed % 4096)
        self.records.crashing_parts.add(self.crashing_part)
        while not self.faults_stopped:
            await asyncio.sleep(0.1)
        self.crashing_part = None

    async def drain_worker(self):
        worker = self.random_worker()
        await self.replace(worker, worker.version)

    async def release(self):
        """Replaces an engine by one of another software version."""
        engines = [w for w in self.workers.values() if w.alive and w.service == "llm"]
        await self.replace(self.rng.choice(engines), self.rng.choice(self.software))

    async def replace(self, worker, version):
        await self.start_worker(worker.service, worker.stage, version)
        worker.leaving = True
        await self.store.put("servers", worker.name, worker.entry(worker.address, "draining"))
        await asyncio.sleep(3)
        self.disturbances.begin(worker.name)
        await self.store.delete("servers", worker.name)
        worker.alive = False
        worker.server.close()
        self.close_links(worker)

    async def corrupt_worker(self):
        worker = self.random_worker()
        interval = self.disturbances.begin(worker.name)
        worker.fault = self.rng.choice(["refuse", "cut", "extra", "error"])
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        worker.fault = None
        self.disturbances.end(interval)

    async def break_streams(self):
        """Has callers lose connections in the middle of streams, which they take up again."""
        rng = random.Random(self.options.seed + 3)
        while not self.faults_stopped:
            await asyncio.sleep(rng.uniform(0.5, 2))
            for _ in range(5):
                for caller in self.callers:
                    if rng.random() < 0.5:
                        caller.break_stream()
                await asyncio.sleep(0.1)

    def serving(self, version):
        return sum(w.alive and not w.leaving and w.service == "llm" and w.version == version
                   for w in self.workers.values())

    async def silences(self):
        """Lets workers fall silent, also for a while without other faults at the end."""
        rng = random.Random(self.options.seed + 2)
        while not self.silences_stopped:
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            asyncio.ensure_future(self.silence_worker(rng))

    async def silence_worker(self, rng):
        worker = rng.choice([w for w in self.workers.values() if w.alive and not w.silent])
        worker.fall_silent()
        await asyncio.sleep(rng.uniform(0.8, MAX_SILENCE_S))
        worker.speak()

    async def store_fault(self):
        interval = self.disturbances.begin("store")
        self.store.fault = self.rng.choice(["busy", "lost"])
        await asyncio.sleep(self.rng.uniform(0.2, 4))
        self.store.fault = None
        self.disturbances.end(interval)

    async def discard_store_history(self):
        self.store.discard_history()

    async def run(self):
        for index in range(ENGINES):
            await self.start_worker("llm", "decode", self.software[index % len(self.software)])
        for _ in range(DESKS):
            await self.start_worker("desk", None)
        await self.configure()
        for index in range(GATEWAYS):
            await self.make_gateway(index)
        self.records.ports = [gateway["port"] for gateway in self.gateways]
        self.records.cuts.ports = set(self.records.ports)
        await asyncio.sleep(2)
        self.callers = [Caller(self, i) for i in range(CALLERS)]
        callers = [asyncio.ensure_future(caller.run()) for caller in self.callers]
        faults = asyncio.ensure_future(self.faults())
        silences = asyncio.ensure_future(self.silences())
        breaks = asyncio.ensure_future(self.break_streams())
        crashes = asyncio.ensure_future(self.crash_by_part())
        statements = WorkerStatements(self)
        limits = asyncio.ensure_future(statements.limits())
        cuts = asyncio.ensure_future(self.cuts.run())
        rests = asyncio.ensure_future(statements.rests())
        calls = asyncio.ensure_future(self.api.faults(self))
        storms = asyncio.ensure_future(ConfigStorms(self).run())
        await asyncio.sleep(self.options.seconds)
        self.faults_stopped = True
        await asyncio.gather(faults, breaks, crashes, limits, cuts, rests, calls, storms)
        await asyncio.sleep(4 - MAX_SILENCE_S)
        self.silences_stopped = True
        await silences
        await asyncio.sleep(MAX_SILENCE_S)
        before = dict(self.records.counts)
        await asyncio.sleep(2)
        good = self.records.counts.get(200, 0) - before.get(200, 0)
        all_answers = sum(self.records.counts.values()) - sum(before.values())
        if all_answers == 0 or good < 0.9 * all_answers:
            self.records.fail("after the faults only %d of %d answers were successful"
                              % (good, all_answers))
        await self.take_key_away_beyond_the_store()
        self.finished = True
        await asyncio.gather(*callers)
        for gateway in self.gateways:
            gateway["process"].send_signal(signal.SIGTERM)
        for gateway in self.gateways:
            while gateway["process"].poll() is None:
                await asyncio.sleep(0.05)
            if gateway["process"].returncode != 0:
                self.records.fail("a gateway exited with code %d" % gateway["process"].returncode)
        self.records.check_resumptions()
        self.records.crashes.check(self.records.fail)
        self.records.limits.check(self.records.fail)
        self.records.cuts.check(self.records.fail)
        self.records.rests.check(self.records.ports, self.records.fail)
        self.records.keys.check(self.records.fail)
        print("keys: %s" % self.records.keys.counts)
        self.records.duties.check(self.records.fail)
        print("usage: %s" % self.records.duties.counts)
        print("workers that ask for time: %s" % self.records.rests.counts)
        print("first tries during cuts: %s" % self.records.cuts.counts)
        print("workers that name limits: %s" % self.records.limits.counts)
        print("a part that crashes engines: %s" % self.records.crashes.counts)
        print("streams at sound gateways: %s" % self.records.stream_counts)
        print("after Expect: 100-continue: %s" % self.records.expect_counts)
        print("beside a silent worker: %s" % self.records.silence_counts)
        print("seed %d: %d requests, answers %s, %d orders, %d failures; logs in %s" % (
            self.options.seed, len(self.records.sent), self.records.counts,
            len(self.records.orders), len(self.records.failures), self.folder), flush=True)
        with open(os.path.join(self.folder, "failures.txt"), "w", encoding="utf-8") as kept:
            kept.write("".join("%s\n" % failure for failure in self.records.failures))
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
