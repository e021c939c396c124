"""Soak of upstreams that are processes and whose answers end with their connections. The kernel closes
the connections of a killed process like those of answers that are whole.

    upstream_kills.py --binary build/main/fuchsiaquay --series SERIES [--seed 1] [--seconds 10]

Checks that no caller gets a part of an answer as an answer while upstreams are killed, and that whole
answers arrive whole. Exit code 0: all held.
"""

import asyncio
import json
import os
import signal
import sys
import time

from engine_ends import run_series
from soak import World
from stand_ins import seeded

CALLERS = 24
LAPSE_S = 2.5             # the entry of an upstream that was killed stays so long
# `gap`: seconds between two kills; `frozen`: seconds for which an upstream is stopped before it is
# killed; `host_pause`: seconds for which a host is stopped at a time; `whole`: share of answers that
# must arrive whole.
SERIES = {
    "killed": {"gap": (0.1, 0.5), "frozen": None, "host_pause": None, "whole": 0.3},
    "frozen": {"gap": (0.3, 0.8), "frozen": (0.5, 3.0), "host_pause": None, "whole": 0.3},
    "host_pauses": {"gap": (0.1, 0.5), "frozen": None, "host_pause": (0.05, 2.5), "whole": 0.1},
    "calm": {"gap": None, "frozen": None, "host_pause": None, "whole": 1.0},
}


class UpstreamProcess:
    def __init__(self, name, service, world):
        self.name, self.service, self.world, self.serving = name, service, world, True

    async def open(self):
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "unframed_upstream.py")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, script, self.name, self.service, str(self.world.events),
            stdout=asyncio.subprocess.PIPE)
        self.port = int(await self.process.stdout.readline())
        self.reading = asyncio.create_task(self.read())
        return self

    async def read(self):
        while line := await self.process.stdout.readline():
            self.world.runs.setdefault(line.decode().strip(), []).append(self.name)

    def entry(self):
        return json.dumps({"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z1",
                           "version": "v1", "slots": 16, "state": "ready", "seq": 1})

    async def kill(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


class UpstreamKills(World):
    all_series = SERIES

    def __init__(self, options, folder):
        super().__init__(options, folder)
        self.series, self.answers, self.kills, self.tasks = SERIES[options.series], {}, 0, set()
        self.closing, self.longest_pause_s = False, 0.0

    async def add_upstream(self, service):
        self.number += 1
        upstream = await UpstreamProcess(f"i-{self.number}", service, self).open()
        self.upstreams.append(upstream)
        self.store.put(f"servers/{upstream.name}", upstream.entry())

    async def run(self):
        try:
            await self.open()
            end = time.monotonic() + self.options.seconds
            await asyncio.gather(self.kill_upstreams(end), self.pause_hosts(end),
                                 *(self.caller(i, end) for i in range(CALLERS)))
            await self.finish()
        finally:
            self.closing = True
            await asyncio.gather(*self.tasks)
            await asyncio.gather(*(upstream.kill() for upstream in self.upstreams))

    async def kill_upstreams(self, end):
        rng = seeded(self.options.seed, "kills")
        while self.series["gap"] and time.monotonic() < end:
            await asyncio.sleep(rng.uniform(*self.series["gap"]))
            upstream = rng.choice([u for u in self.upstreams if u.serving])
            upstream.serving = False
            self.kills += 1
            frozen_s = rng.uniform(*self.series["frozen"]) if self.series["frozen"] else None
            task = asyncio.create_task(self.replace(upstream, frozen_s))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def replace(self, upstream, frozen_s):
        if frozen_s:
            upstream.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(frozen_s)
        await upstream.kill()
        if self.closing:
            return
        await self.add_upstream(upstream.service)
        await asyncio.sleep(LAPSE_S)
        self.store.remove(f"servers/{upstream.name}")

    async def pause_hosts(self, end):
        rng = seeded(self.options.seed, "host pauses")
        while self.series["host_pause"] and time.monotonic() < end:
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            node = rng.choice(self.nodes)
            node.process.send_signal(signal.SIGSTOP)
            began = time.monotonic()
            await asyncio.sleep(rng.uniform(*self.series["host_pause"]))
            node.process.send_signal(signal.SIGCONT)
            self.longest_pause_s = max(self.longest_pause_s, time.monotonic() - began)

    async def caller(self, index, end):
        rng, count = seeded(self.options.seed, f"caller {index}"), 0
        kind = ["order", "lookup", "chat"][index % 3]
        tokens = "2000,500" if kind == "chat" else "1,1"
        while time.monotonic() < end:
            count += 1
            status = await self.ask_apart(rng.choice(self.nodes), kind, f"{kind}-{index}-{count}", tokens, b"body")
            self.answers.setdefault(kind, []).append(status)
            await asyncio.sleep(rng.uniform(0.01, 0.1))

    async def finish(self):
        for node in self.nodes:
            if node.process.returncode is not None:
                self.finding(f"{node.name} ended with {node.process.returncode}")
        await asyncio.gather(*(node.end(9, 2.0) for node in self.nodes))
        for kind, statuses in self.answers.items():
            if statuses.count(200) < self.series["whole"] * len(statuses):
                self.finding(f"{statuses.count(200)} of {len(statuses)} answers to {kind} were whole")
        counts = {kind: {str(status): statuses.count(status) for status in set(statuses)}
                  for kind, statuses in sorted(self.answers.items())}
        self.summary = f"{self.kills} kills, longest pause {self.longest_pause_s:.2f} s, answers {counts}"


if __name__ == "__main__":
    sys.exit(run_series(UpstreamKills))
