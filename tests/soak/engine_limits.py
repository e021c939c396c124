"""Soak of engines and services that name in their answers how many requests a second they take.

    engine_limits.py --binary build/main/fuchsiaquay --series SERIES [--seed 1] [--seconds 20]

Checks that each gets what it named, summed over all nodes, that requests which the limits leave no
room for are refused at once, and that the full share returns when no limit is named any more.
"""

import asyncio
import base64
import json
import signal
import sys
import time

from engine_ends import EngineEnds, run_series
from stand_ins import Upstream, seeded

STABLE_S = 3.0            # from the first answer with a limit until it must be kept
WINDOW_S = 4.0
RATIO, SLACK = 1.5, 5
REFUSAL_S = 0.6           # a refusal takes no longer than the target of the route, and some slack

# `limits`: values of the upstreams that name one, the busiest first; `until`: seconds after which no
# limit is named; `nodes`: restart and freeze nodes meanwhile; `callers`: number of callers.
SERIES = {
    "busiest": {"service": "llm", "limits": [["1.6"]], "callers": 6},
    "all": {"service": "llm", "limits": [["1.6"], ["2.0"]] * 4, "callers": 6},
    "plain": {"service": "shop", "limits": [["1.6"], ["1.6"]], "callers": 4},
    "overload": {"service": "llm", "limits": [["0.8"]] * 8, "callers": 9},
    "lifted": {"service": "llm", "limits": [["1.6"]], "callers": 6, "until": 8.0},
    "restarts": {"service": "llm", "limits": [["1.6"], ["2.0"]] * 4, "callers": 6, "nodes": True},
    "odd_values": {"service": "llm", "callers": 6,
                   "limits": [["abc"], ["-1"], ["nan"], ["1e3"], ["999999999999999999999"], [""],
                              ["0"], ["1.6", "200"]]},
}


class LimitedUpstream(Upstream):
    limits = ()
    active = 0

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.arrivals = []

    async def respond(self, target, headers, echo, writer, run):
        self.arrivals.append(time.monotonic())
        echo = echo + [("Server-Limit", value) for value in self.limits]
        if self.limits and self.named_at is None:
            self.named_at = time.monotonic()
        await super().respond(target, headers, echo, writer, run)

    named_at = None


def decimal_limit(values):
    """The limit that the values name: the smallest decimal number among them."""
    numbers = [float(v) for v in values if v and v.replace(".", "", 1).isdigit()]
    return min(numbers) if numbers else None


class EngineLimits(EngineEnds):
    upstream_type = LimitedUpstream
    all_series = SERIES
    lifted_at = None

    def configure(self, target_s=0.25, slots=16):
        super().configure(target_s, slots)
        item = json.loads(base64.b64decode(self.store.items["op/config"]["value"]))
        for route in item["routes"]:
            route["priority"] = 1 if route["name"] == "season" else 0
        self.store.put("op/config", json.dumps(item))

    def of_service(self):
        return [u for u in self.upstreams if u.service == self.series["service"]]

    async def run(self):
        await self.open()
        for service, count in (("llm", 8), ("shop", 4)):
            for _ in range(count - len([u for u in self.upstreams if u.service == service])):
                await self.add_upstream(service)
        await asyncio.sleep(1.0)
        self.traffic_at = time.monotonic()
        callers = [asyncio.create_task(self.limited_caller(i)) for i in range(self.series["callers"])]
        await asyncio.sleep(4.0)
        self.limited_at = time.monotonic()
        ranked = sorted(self.of_service(), key=lambda u: -len(u.arrivals))
        self.limited = ranked[:len(self.series["limits"])]
        for upstream, values in zip(self.limited, self.series["limits"]):
            upstream.limits = values
        if self.series.get("nodes"):
            self.spawn(self.trouble_nodes())
        end = self.limited_at + self.options.seconds
        if "until" in self.series:
            await asyncio.sleep(self.series["until"])
            for upstream in self.limited:
                upstream.limits = ()
            self.lifted_at = time.monotonic()
        await asyncio.sleep(max(0.0, end - time.monotonic()))
        self.ended_at = time.monotonic()
        self.lifted_at = self.lifted_at or self.ended_at
        self.stopped = True
        await asyncio.gather(*callers, *self.tasks)
        await self.finish()

    async def trouble_nodes(self):
        rng = seeded(self.options.seed, "nodes")
        while not self.stopped:
            await asyncio.sleep(rng.uniform(2.0, 3.0))
            node = rng.choice(self.nodes)
            how = rng.choice([signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP])
            if how == signal.SIGSTOP:
                node.signal(how)
                await asyncio.sleep(rng.uniform(0.3, 2.5))
                node.signal(signal.SIGCONT)
            else:
                await node.end(how, 9.0)
                await node.start()

    async def limited_caller(self, index):
        rng, count = seeded(self.options.seed, f"caller {index}"), 0
        kind = "chat" if self.series["service"] == "llm" else "lookup"
        if "overload" in self.options.series and index % 3 == 0:
            kind = "season"
        while not self.stopped:
            count += 1
            await self.ask_once(rng, f"{kind}-{index}-{count}", ["c0de0001", f"{index:04x}{count:04x}"])
            await asyncio.sleep(rng.uniform(0.02, 0.1) if kind != "lookup" else rng.uniform(0.05, 0.4))

    def check_limit(self, upstream, values):
        limit = decimal_limit(values)
        if limit is None or upstream.named_at is None:
            return 0
        most = 0
        times = [t for t in upstream.arrivals if upstream.named_at + STABLE_S <= t < self.lifted_at]
        for i, begin in enumerate(times):
            most = max(most, sum(begin <= t < begin + WINDOW_S for t in times[i:]))
        allowed = int(RATIO * WINDOW_S * limit + SLACK)
        if most > allowed:
            self.finding(f"{upstream.name} named {values} and got {most} requests in "
                         f"{WINDOW_S:.0f} s, allowed {allowed}")
        return most

    def check_refusals(self):
        for request, (began, ended, status, headers) in self.answers.items():
            if status != 503 or began < self.limited_at or self.series.get("nodes"):
                continue
            if ended - began > REFUSAL_S:
                self.finding(f"{request} was refused after {ended - began:.2f} s")
            if float(headers.get("retry-after", "0")) <= 0:
                self.finding(f"{request} was refused without Retry-After")

    def share(self, kind, begin, end):
        found = [a[2] for r, a in self.answers.items() if r.startswith(kind) and begin <= a[0] < end]
        return sum(s == 200 for s in found) / len(found) if found else 1.0

    async def finish(self):
        most = [self.check_limit(u, v) for u, v in zip(self.limited, self.series["limits"])]
        self.check_refusals()
        kind = "chat" if self.series["service"] == "llm" else "lookup"
        served = self.share(kind, self.limited_at + STABLE_S, self.ended_at)
        urgent_less = ""
        if "overload" in self.options.series:
            other = self.share("season", self.limited_at + STABLE_S, self.ended_at)
            urgent_less = f", less urgent {other:.2f}"
            if served < other:
                self.finding(f"urgent requests served {served:.2f}, less urgent ones {other:.2f}")
        elif served < 0.9 and not self.series.get("nodes"):
            self.finding(f"{served:.2f} of the requests served under limits")
        if "until" in self.series:
            busiest = self.limited[0]
            before = sum(t < self.limited_at for t in busiest.arrivals) / (self.limited_at - self.traffic_at)
            after = sum(t > self.lifted_at + 4 for t in busiest.arrivals) / (self.ended_at - self.lifted_at - 4)
            urgent_less = f", busiest {before:.1f} a second before and {after:.1f} once lifted"
            if after < 0.4 * before:
                self.finding(f"the full share did not return: {before:.1f} a second before, {after:.1f} after")
        await asyncio.gather(*(node.end(signal.SIGTERM, 9.0) for node in self.nodes))
        self.summary = f"most in {WINDOW_S:.0f} s {most}, served {served:.2f}{urgent_less}"


if __name__ == "__main__":
    sys.exit(run_series(EngineLimits))
