"""Has workers of the soak say what they take: a limit, or nothing for a time."""

import asyncio
import random
import time

MAX_LIMITED = 2  # Workers that name limits at once.


class WorkerStatements:
    def __init__(self, soak):
        self.soak = soak

    async def limits(self):
        """Has workers name limits, each for some seconds."""
        rng = random.Random(self.soak.options.seed + 4)
        tasks = []
        while not self.soak.faults_stopped:
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            tasks.append(asyncio.ensure_future(self.limit_worker(rng)))
        await asyncio.gather(*tasks)

    async def limit_worker(self, rng):
        if sum(w.alive and w.limit is not None for w in self.soak.workers.values()) >= MAX_LIMITED:
            return
        worker = rng.choice([w for w in self.soak.workers.values()
                             if w.alive and not w.leaving and w.limit is None])
        worker.limit = round(rng.uniform(0.5, 3), 1)
        period = self.soak.records.limits.begin(worker.name, worker.limit)
        end = time.monotonic() + rng.uniform(4, 9)
        while time.monotonic() < end and not self.soak.faults_stopped:
            await asyncio.sleep(0.1)
        self.soak.records.limits.end(period)
        worker.limit = None

    async def rests(self):
        """Has workers ask for time without requests, one at a time."""
        rng = random.Random(self.soak.options.seed + 6)
        while not self.soak.faults_stopped:
            await asyncio.sleep(rng.uniform(0.5, 2))
            worker = rng.choice([w for w in self.soak.workers.values() if w.alive and not w.leaving])
            worker.asks_for_time = True
            await asyncio.sleep(rng.uniform(1, 4))
            worker.asks_for_time = False
