"""Configurations in quick succession, and entries of another writer among those of the workers."""

import asyncio
import random

ADDED_ROUTES = 400
NESTED_LEVELS = 400000
NESTED = "[" * NESTED_LEVELS + "]" * NESTED_LEVELS


class Raw:
    """JSON text that is sent as it is, where json.dumps would exhaust the stack."""

    def __init__(self, text):
        self.text = text


# Specs of entries that name no worker.
ODD_SPECS = [Raw(NESTED), Raw('{"service":' + NESTED + "}"), Raw('{"addr":1e999,"service":"desk"}'),
             Raw('"\xff"'), Raw("{"), Raw("null"), [], {"service": 7}, {"service": "desk"},
             {"service": "desk", "addr": "127.0.0.1:99999", "zone": "z1", "state": "ready"},
             {"service": "llm", "addr": [], "zone": {}, "state": "ready", "slots": -1}]


class ConfigStorms:
    def __init__(self, soak):
        self.soak = soak
        self.rng = random.Random(soak.options.seed + 5)
        self.specs = []  # Those that are still to be written before any comes again.

    async def run(self):
        while not self.soak.faults_stopped:
            await asyncio.sleep(self.rng.uniform(0.5, 2))
            await asyncio.gather(self.storm(), self.odd_entries())
        await self.soak.configure()

    async def storm(self):
        for _ in range(self.rng.randrange(3, 12)):
            await self.soak.configure(self.change)
            await asyncio.sleep(self.rng.uniform(0.02, 0.3))

    def change(self, spec):
        """Changes what callers of the soak don't notice, and adds or removes routes."""
        for route in spec["routes"]:
            route.update(timeout_ms=self.rng.randrange(3000, 6000),
                         goal_ms=self.rng.randrange(200, 800), priority=self.rng.randrange(4))
        template = spec["routes"][-1]
        added = self.rng.choice([0, 1, ADDED_ROUTES])
        spec["routes"] += [dict(template, name="added%d" % i, path_prefix="/added/%d/" % i)
                           for i in range(added)]
        self.rng.shuffle(spec["routes"])
        self.rng.shuffle(spec["services"])
        spec["limits"].update(idle_timeout_ms=self.rng.randrange(8000, 20000),
                              max_header_bytes=self.rng.randrange(8192, 32768))
        engine = next(each for each in spec["services"] if "engine" in each)["engine"]
        engine.update(slots=self.rng.randrange(4, 64), kv_capacity=self.rng.randrange(20000, 900000),
                      handle_ttl_s=self.rng.uniform(1, 20))

    async def odd_entries(self):
        for _ in range(3):
            self.specs = self.specs or self.rng.sample(ODD_SPECS, len(ODD_SPECS))
            name = "odd%d" % self.rng.randrange(3)
            await self.soak.store.put("servers", name, self.specs.pop())
            await asyncio.sleep(self.rng.uniform(0, 0.5))
            await self.soak.store.delete("servers", name)
