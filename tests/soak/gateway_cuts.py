"""Cuts gateways of the soak off from all workers, while all else still reaches them."""

import asyncio
import random
import time

MIN_CUT_S, MAX_CUT_S = 3.5, 6
REACHED_AGAIN_S = 1  # After a cut, requests are passed on for a while.


class GatewayCuts:
    def __init__(self, soak, gateways):
        self.soak = soak
        self.how = [None] * gateways  # How each gateway is cut off now, as FaultProxy.cut takes it.

    def apply(self, proxies):
        """Cuts the links of a new worker, one to each gateway."""
        for proxy, how in zip(proxies, self.how):
            if how:
                proxy.cut(how)

    async def run(self):
        """Cuts gateways off from all workers, one or two at a time, in one of three ways."""
        rng = random.Random(self.soak.options.seed + 5)
        while not self.soak.faults_stopped:
            await asyncio.sleep(rng.uniform(0.5, 2))
            cut = rng.sample(range(len(self.how)), rng.choice([1, 1, 2]))
            how = rng.choice(["refuse", "reset", "hang"])
            await self.cut_off(cut, how, rng.uniform(MIN_CUT_S, MAX_CUT_S))

    async def cut_off(self, gateways, how, length):
        ports = [self.soak.gateways[index]["port"] for index in gateways]
        intervals = [self.soak.disturbances.begin("cut-%d" % port) for port in ports]
        begin = time.monotonic()
        for index in gateways:
            self.how[index] = how
            for name, worker in self.soak.workers.items():
                if worker.alive:
                    self.soak.proxies[name][index].cut(how)
        await asyncio.sleep(length)
        self.soak.records.cuts.on_cut(ports, begin, time.monotonic())
        for index in gateways:
            self.how[index] = None
            await asyncio.gather(*(self.soak.proxies[name][index].mend()
                                   for name, worker in self.soak.workers.items() if worker.alive))
        await asyncio.sleep(REACHED_AGAIN_S)
        for interval in intervals:
            self.soak.disturbances.end(interval)
