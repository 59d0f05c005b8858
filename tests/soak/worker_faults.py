"""Faults of the workers behind the soak's gateways, and of the links to them and to the store."""

import asyncio
import random

MAX_SILENCE_S = 1.6


class WorkerFaults:
    def __init__(self, soak):
        self.soak, self.rng, self.disturbances = soak, soak.rng, soak.disturbances
        self.workers, self.proxies = soak.workers, soak.proxies

    def kinds(self):
        kinds = [self.disturb_store, self.disturb_worker, self.crash_worker, self.drain_worker,
                 self.corrupt_worker]
        return kinds + [self.release] if len(self.soak.software) > 1 else kinds

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
        gateway = self.rng.choice(self.soak.gateways)
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
        await self.soak.store.delete("servers", worker.name)
        await self.soak.start_worker(worker.service, worker.stage, worker.version)

    def on_part_crashed(self, worker, part):
        self.close_links(worker)
        self.soak.records.on_part_crash(part)
        self.disturbances.note("workers")
        self.disturbances.begin(worker.name)
        asyncio.ensure_future(self.replace_crashed(worker))

    def close_links(self, worker):
        """Lets new connections to a worker that is gone be refused, as its port would."""
        for proxy in self.proxies[worker.name]:
            proxy.server.close()

    async def replace_crashed(self, worker):
        await asyncio.sleep(self.rng.uniform(0.3, 1))
        await self.soak.store.delete("servers", worker.name)
        await self.soak.start_worker(worker.service, worker.stage, worker.version)

    async def crash_by_part(self):
        """Has callers send prompts with a part that crashes engines until the faults end."""
        await asyncio.sleep(self.soak.options.seconds * 0.3)
        self.soak.crashing_part = "bad%x" % (self.soak.options.seed % 4096)
        self.soak.records.crashing_parts.add(self.soak.crashing_part)
        while not self.soak.faults_stopped:
            await asyncio.sleep(0.1)
        self.soak.crashing_part = None

    async def drain_worker(self):
        worker = self.random_worker()
        await self.replace(worker, worker.version)

    async def release(self):
        """Replaces an engine by one of another software version."""
        engines = [w for w in self.workers.values() if w.alive and w.service == "llm"]
        await self.replace(self.rng.choice(engines), self.rng.choice(self.soak.software))

    async def replace(self, worker, version):
        await self.soak.start_worker(worker.service, worker.stage, version)
        worker.leaving = True
        await self.soak.store.put("servers", worker.name, worker.entry(worker.address, "draining"))
        await asyncio.sleep(3)
        self.disturbances.begin(worker.name)
        await self.soak.store.delete("servers", worker.name)
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

    async def silences(self):
        """Lets workers fall silent, also for a while without other faults at the end."""
        rng = random.Random(self.soak.options.seed + 2)
        while not self.soak.silences_stopped:
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            asyncio.ensure_future(self.silence_worker(rng))

    async def silence_worker(self, rng):
        worker = rng.choice([w for w in self.workers.values() if w.alive and not w.silent])
        worker.fall_silent()
        await asyncio.sleep(rng.uniform(0.8, MAX_SILENCE_S))
        worker.speak()
