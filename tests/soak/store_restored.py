"""Soak of a store that is away for a moment and comes back from a copy some seconds old.

    store_restored.py --binary build/main/fuchsiaquay --series SERIES [--seed 1] [--nodes 6]

What the operator and the upstreams had written is written again, then both go on. Checks at every host that
each change is in force in time, and that none is undone. Exit code 0: all held.
"""

import asyncio
import itertools
import re
import sys
import time
import urllib.request

from callers import Connection, ConnectionEnded
from engine_ends import run_series
from soak import DRAIN_S, World
from stand_ins import seeded

APPLY_S = 2.0             # config_apply_ms of the deployments
STRETCH_S = 5.0           # max_stretch_ms: for changes while the store is disturbed
STABLE_S = 3.0            # stable_window_ms
CHECK_S = 2.0             # each state is looked at for so long
USE_REQUESTS = 200        # within so many further requests a host uses a new upstream

# `lost`: writes after the copy that the store loses; `overtaking`: writes that follow each change at once, so
# that its revisions pass those from before; `restorations`: how often; `away`: for how long, in seconds;
# `late_host`: whether a host registers after the copy.
SERIES = {
    "behind": {"lost": 60, "overtaking": 0, "restorations": 2, "away": (0.3, 2.0)},
    "overtaken": {"lost": 20, "overtaking": 60, "restorations": 2, "away": (0.3, 2.0)},
    "registered_since": {"lost": 10, "overtaking": 0, "restorations": 1, "away": (0.3, 0.8),
                         "late_host": True},
}


class StoreRestored(World):
    all_series = SERIES

    def __init__(self, options, folder):
        super().__init__(options, folder)
        self.series, self.numbers, self.requests = SERIES[options.series], itertools.count(1), 0
        self.served_by = {}

    async def run(self):
        self.added_routes = ["first"]
        await self.open()
        rng = seeded(self.options.seed, "restorations")
        for _ in range(self.series["restorations"]):
            await self.lose_and_return(rng)
            since = time.monotonic()
            await self.change_and_check("at the return", APPLY_S + STRETCH_S)
            await asyncio.sleep(max(0.0, since + STABLE_S - time.monotonic()))
            await self.change_and_check("on the stable store", APPLY_S)
        await self.finish()

    async def lose_and_return(self, rng):
        copy = self.store.copy()
        for number in range(self.series["lost"]):
            self.store.put("other/key", str(number))
        await asyncio.sleep(rng.uniform(0.5, 1.0))
        if self.series.get("late_host"):
            late = self.nodes[-1]
            await late.end(9, 2.0)
            await late.start()
        self.change_configuration()
        await self.add_upstream("shop")
        await asyncio.sleep(3.0)
        await self.check_for(CHECK_S, "before the outage", time.monotonic())
        lost = {key: item for key, item in self.store.items.items() if key.startswith(("op/", "servers/"))
                and copy[1].get(key, {}).get("revision") != item["revision"]}
        self.last_store_fault = time.monotonic() + 60
        self.store.mode = "down"
        for writer in list(self.store.connections):
            writer.transport.abort()
        await asyncio.sleep(rng.uniform(*self.series["away"]))
        self.store.restore(copy)
        self.store.mode = "well"
        self.last_store_fault = time.monotonic()
        await asyncio.sleep(rng.uniform(0.05, 0.5))
        for key, item in lost.items():
            self.store.put_again(key, item)

    def change_configuration(self):
        """Replaces the route that was added last."""
        self.version += 2
        self.added_routes = [f"added{next(self.numbers)}"]
        self.configure()

    async def change_and_check(self, when, bound):
        self.change_configuration()
        leaving = next(u for u in self.upstreams if u.service == "shop" and u.name not in self.gone)
        await self.add_upstream("shop")
        new = self.upstreams[-1].name
        self.store.put(f"servers/{leaving.name}", leaving.entry(leaving.wire.port, "draining"))
        self.gone[leaving.name] = time.monotonic() + bound - DRAIN_S
        for number in range(self.series["overtaking"]):
            self.store.put("other/key", str(number))
        await asyncio.sleep(bound)
        await asyncio.gather(*(self.check_catalogue(node, when) for node in self.nodes))
        self.served_by.clear()
        await self.check_for(CHECK_S, when, time.monotonic())
        await asyncio.gather(*(self.check_use(node, new, when) for node in self.nodes))
        self.store.remove(f"servers/{leaving.name}")

    async def check_catalogue(self, node, when):
        """Each host must list the upstreams that the store has, neither fewer nor more."""
        listed = await asyncio.to_thread(self.listed_upstreams, node)
        stored = sum(key.startswith("servers/") for key in self.store.items)
        if listed != stored:
            self.finding(f"{when}: {node.name} lists {listed} upstreams, the store has {stored}")

    def listed_upstreams(self, node):
        with urllib.request.urlopen(f"http://127.0.0.1:{node.metrics}/metrics", timeout=2) as page:
            return int(re.search(r"^fuchsiaquay_upstreams (\d+)$", page.read().decode(), re.M)[1])

    async def check_use(self, node, new, when):
        """An upstream is chosen by chance among those with the least work, so a few requests may miss it."""
        for _ in range(USE_REQUESTS):
            if new in self.served_by.get(node.name, set()):
                return
            await self.ask_once(node, self.added_routes[0])
        self.finding(f"{when}: {node.name} sends nothing to {new}, a new upstream")

    async def check_for(self, seconds, when, since):
        await asyncio.gather(*(self.check(node, when, since + seconds) for node in self.nodes))

    async def check(self, node, when, end):
        """Asks one host until `end` for the route in force and for the one before it."""
        known = self.added_routes[0]
        former = f"added{int(known.removeprefix('added')) - 1}"
        wrong = {}
        while time.monotonic() < end:
            for route, allowed in ((known, {200}), (former, {404})):
                status = await self.ask_once(node, route)
                if status not in allowed:
                    wrong[(route, status)] = wrong.get((route, status), 0) + 1
            await asyncio.sleep(0.02)
        for (route, status), count in wrong.items():
            self.finding(f"{when}: {node.name} answered {status} to {count} requests for /{route}/, "
                         f"in force is /{known}/")

    async def ask_once(self, node, route):
        self.requests += 1
        request = f"{route}-{node.name}-{self.requests}"
        connection = None
        try:
            connection = await Connection(node.name).open(node.callers)
            head = self.head("lookup", request, "k0", "1,1", 4).replace(b"/lookup/", f"/{route}/".encode())
            await connection.send(head, b"body")
            status, _, _ = await asyncio.wait_for(connection.receive(), 4.0)
        except asyncio.TimeoutError:
            status = "late"
        except (ConnectionEnded, OSError):
            status = "cut"
        if connection:
            connection.close()
        self.served_by.setdefault(node.name, set()).update(self.runs.get(request, []))
        return status

    async def finish(self):
        for node in self.nodes:
            if node.process.returncode is not None:
                self.finding(f"{node.name} ended with {node.process.returncode}")
        await asyncio.gather(*(node.end(9, 2.0) for node in self.nodes))
        self.summary = f"{self.requests} requests, the store's era is {self.store.era}"


if __name__ == "__main__":
    sys.exit(run_series(StoreRestored))
