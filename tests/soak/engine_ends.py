"""Soak of engines that end: a part of some prompts crashes every engine that begins to answer on it,
or engines end by themselves. Each is back some seconds later under another id, or under its own.

    engine_ends.py --binary build/main/fuchsiaquay --series SERIES [--seed 1] [--seconds 20]

Checks that few requests with such a part reach engines once five engines have ended under it, that
sound requests are served again while such requests still come, and that engines which end by
themselves cost no caller more than its own request. Exit code 0: all held.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
import time

from callers import Connection, ConnectionEnded
from soak import TIMEOUT_S, World, run_quietly
from stand_ins import Upstream, seeded

ENDS = 5                  # ends under one part after which it counts as known
STABLE_S = 3.0            # time from then until requests with it are kept from engines
MAX_LATE = 3              # such requests that may reach engines later than that
MIN_SHARE = 0.5           # of sound requests, against the time before
BEGIN_S = 6.0             # first request with such a part
LAPSE_S = 2.5             # the entry of an engine that ended stays so long
RETURN_S = (2.5, 4.5)
ENGINES = 14

BLAME = b"prompt_part_ends_engines"     # reason of a refusal
COMMON, MIDDLE, BAD, OTHER_BAD = "c0de0001", "c0de0002", "bad00001", "bad00002"

# `parts`: the prompts that crash engines, without their own last part; `gap`: seconds between two;
# `end`: what an engine has sent when it ends under one; `step`: seconds before its head and its end;
# `same_id`: seconds after which it is back under its id and at its address; `quiet`: no request is
# sent to an engine that is down.
SERIES = {
    "part_between": {"parts": [[COMMON, BAD, MIDDLE]], "gap": 0.2, "end": "head"},
    "part_first": {"parts": [[BAD, COMMON]], "gap": 0.2, "end": "event"},
    "no_byte": {"parts": [[COMMON, BAD, MIDDLE]], "gap": 0.2, "end": "nothing"},
    "until_close": {"parts": [[COMMON, BAD, MIDDLE]], "gap": 0.2, "end": "unframed"},
    "nothing_shared": {"parts": [["f00d0001", BAD, "f00d0002"]], "gap": 0.2, "end": "head"},
    "two_parts": {"parts": [[COMMON, BAD], [COMMON, OTHER_BAD]], "gap": 0.2, "end": "head"},
    "seldom": {"parts": [[COMMON, BAD, MIDDLE]], "gap": 1.5, "end": "head"},
    "by_themselves": {"parts": [], "gap": 0.5, "end": "head"},
    "same_id": {"parts": [[COMMON, BAD, MIDDLE]], "gap": 1.5, "end": "head", "same_id": 0.3,
                "quiet": True},
    "same_id_later": {"parts": [[COMMON, BAD, MIDDLE]], "gap": 4.0, "end": "head", "same_id": 2.5,
                      "quiet": True},
    "same_id_no_byte": {"parts": [[COMMON, BAD, MIDDLE]], "gap": 3.0, "end": "nothing",
                        "same_id": 0.3, "quiet": True},
    "same_id_seldom": {"parts": [[COMMON, BAD, MIDDLE]], "gap": 9.0, "end": "head", "same_id": 2.5,
                       "quiet": True},
    "same_id_busy": {"parts": [[COMMON, BAD, MIDDLE]], "gap": 0.2, "end": "head", "same_id": 0.3},
    "same_id_two_parts": {"parts": [[COMMON, BAD], [COMMON, OTHER_BAD]], "gap": 1.5, "end": "head",
                          "same_id": 0.3, "quiet": True},
    "same_id_at_once": {"parts": [[COMMON, BAD, MIDDLE]], "gap": 3.0, "end": "head",
                        "same_id": 2.5, "step": 0.01, "quiet": True},
    "same_id_by_themselves": {"parts": [], "gap": 0.5, "end": "head", "same_id": 0.3},
}


def middle_parts(headers):
    """Parts of the prompt without the last one, which belongs to the request itself."""
    return [part.split(":")[0] for part in headers.get("x-prompt-prefix", "").split(",")][:-1]


class MortalEngine(Upstream):
    born = 0

    async def open(self, port=0):
        """Starts a process; the next one may have the same id and address."""
        self.born = int(time.time() * 1000)
        self.reserved = {}
        return await super().open(port)

    def entry(self, port, state="ready"):
        return json.dumps(dict(json.loads(super().entry(port, state)), born=self.born))

    async def stream(self, headers, echo, writer, run):
        if not {BAD, OTHER_BAD} & set(middle_parts(headers)):
            await super().stream(headers, echo, writer, run)
            return
        step = self.world.series.get("step", 0.05)
        await self.work(writer, step)
        end = self.world.series["end"]
        head = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in echo]
        if end != "unframed":
            head.append("Transfer-Encoding: chunked")
        if end != "nothing":
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        if end == "event":
            event = self.world.event(headers["x-attempt-id"], 1)
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
        await self.work(writer, step)
        await self.world.end_engine(self, middle_parts(headers))
        raise ConnectionError

    async def end(self):
        """All connections end in order, as the kernel does for a process that is gone."""
        self.server.close()
        for writer in list(self.connections):
            writer.close()


class EngineEnds(World):
    upstream_type = MortalEngine
    all_series = SERIES

    def __init__(self, options, folder):
        super().__init__(options, folder)
        self.series = self.all_series[options.series]
        self.answers = {}
        self.ends = {BAD: [], OTHER_BAD: []}
        self.late_arrivals = {BAD: 0, OTHER_BAD: 0}
        self.ended = 0
        self.down = 0
        self.blamed = 0
        self.parts = {}
        self.tasks = set()

    async def add_upstream(self, service):
        self.number += 1
        upstream = self.upstream_type(seeded(self.options.seed, self.number), f"i-{self.number}",
                                      service, self)
        await upstream.open()
        self.upstreams.append(upstream)
        self.store.put(f"servers/{upstream.name}", upstream.entry(upstream.port))

    def arrived(self, request, upstream, target, headers):
        for part in set(middle_parts(headers)) & set(self.ends):
            ends = self.ends[part]
            if len(ends) >= ENDS and time.monotonic() - ends[ENDS - 1] > STABLE_S:
                self.late_arrivals[part] += 1
        return super().arrived(request, upstream, target, headers)

    async def end_engine(self, engine, parts=()):
        if engine not in self.upstreams:
            return
        self.ended += 1
        for part in set(parts) & set(self.ends):
            self.ends[part].append(time.monotonic())
        self.upstreams.remove(engine)
        await engine.end()
        self.spawn(self.bring_back(engine))

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def bring_back(self, engine):
        if "same_id" in self.series:
            await self.bring_back_as_it_was(engine)
            return
        began = time.monotonic()
        back = began + engine.rng.uniform(*RETURN_S)
        await asyncio.sleep(LAPSE_S)
        self.store.remove(f"servers/{engine.name}")
        await asyncio.sleep(max(0.0, back - time.monotonic()))
        await self.add_upstream(engine.service)

    async def bring_back_as_it_was(self, engine):
        self.down += 1
        await asyncio.sleep(self.series["same_id"])
        await engine.open(engine.port)
        self.down -= 1
        self.upstreams.append(engine)
        port = engine.wire.port if hasattr(engine, "wire") else engine.port
        self.store.put(f"servers/{engine.name}", engine.entry(port))

    async def run(self):
        await self.open()
        for _ in range(ENGINES - len([u for u in self.upstreams if u.service == "llm"])):
            await self.add_upstream("llm")
        await asyncio.sleep(1.0)
        self.traffic_at = time.monotonic()
        callers = [asyncio.create_task(self.sound_caller(i)) for i in range(6)]
        await asyncio.sleep(BEGIN_S)
        self.trouble_at = time.monotonic()
        end = self.trouble_at + self.options.seconds
        rng, count = seeded(self.options.seed, "trouble"), 0
        while time.monotonic() < end:
            count += 1
            if self.series["parts"]:
                parts = self.series["parts"][count % len(self.series["parts"])]
                self.spawn(self.ask_once(rng, f"chat-bad-{count}", parts + [f"{count:08x}"], bad=True))
            elif count <= 12:
                await self.end_engine(rng.choice([u for u in self.upstreams if u.service == "llm"]))
            await asyncio.sleep(self.series["gap"])
        self.trouble_end = time.monotonic()
        self.stopped = True
        await asyncio.gather(*callers, *self.tasks)
        await self.finish()

    async def sound_caller(self, index):
        rng, count = seeded(self.options.seed, f"caller {index}"), 0
        while not self.stopped:
            count += 1
            parts = [COMMON, MIDDLE, f"{index:04x}{count:04x}"]
            await self.ask_once(rng, f"chat-{index}-{count}", parts)
            await asyncio.sleep(rng.uniform(0.02, 0.1))
            while self.down and self.series.get("quiet"):
                await asyncio.sleep(0.05)

    async def ask_once(self, rng, request, parts, bad=False):
        began, kind = time.monotonic(), request.split("-")[0]
        node, connection = rng.choice(self.nodes), None
        self.parts[request] = parts
        try:
            connection = await Connection(node.name).open(node.caller_wire.port)
            tokens = "1,1" if kind == "lookup" else "2000,500"
            await connection.send(self.head(kind, request, "k0", tokens, 4), b"body")
            answer = await asyncio.wait_for(connection.receive(), TIMEOUT_S[kind] + 1.5)
            answer = (answer[0], answer[2], answer[1], False)
        except asyncio.TimeoutError:
            answer = ("late", b"", {}, True)
        except (ConnectionEnded, OSError):
            answer = ("broken", b"", {}, True)
        if connection:
            connection.close()
        if bad and answer[0] == 200:
            self.finding(f"{request} was answered as if it were whole: {answer[1]!r}")
        elif answer[0] in (400, 401, 404):
            self.finding(f"{request} was answered {answer[0]}")
        else:
            self.judge(kind, request, "k0", began, answer)
        self.answers[request] = (began, time.monotonic(), answer[0], answer[2])
        self.blamed += not bad and answer[0] != "late" and BLAME in answer[1]
        self.outcomes.append((began, "bad" if bad else "sound", answer[0]))

    def head(self, kind, request, key, tokens, body_size, query=""):
        parts = ",".join(f"{part}:500" for part in self.parts[request])
        text = super().head(kind, request, key, tokens, body_size, query)
        return text.replace(b"\r\nX-Deadline-Ms", f"\r\nX-Prompt-Prefix: {parts}\r\nX-Deadline-Ms".encode())

    def share_served(self, begin, end):
        sent = [status for at, kind, status in self.outcomes if kind == "sound" and begin <= at < end]
        return (sum(status == 200 for status in sent) / len(sent) if sent else 0.0), len(sent)

    async def finish(self):
        before, count = self.share_served(self.traffic_at, self.trouble_at)
        known = [ends[ENDS - 1] for ends in self.ends.values() if len(ends) >= ENDS]
        known += [ends[-1] for ends in self.ends.values() if 0 < len(ends) < ENDS]
        settled = (max(known) if known else self.trouble_at) + 2 * STABLE_S
        after, later = self.share_served(settled, self.trouble_end)
        for part, late in self.late_arrivals.items():
            if late > MAX_LATE:
                self.finding(f"{late} requests with {part} reached engines later than {STABLE_S:.0f} s "
                             f"after the fifth end, {len(self.ends[part])} engines ended")
        if count < 20 or later < 20:
            self.finding(f"{count} and {later} sound requests are too few to judge")
        elif after < MIN_SHARE * before:
            self.finding(f"sound requests: {before:.2f} served before, {after:.2f} later")
        if not self.series["parts"]:
            if self.blamed or after < 0.9 * before:
                self.finding(f"{self.blamed} sound requests blamed, {after:.2f} served")
        await asyncio.gather(*(node.end(signal.SIGTERM, 9.0) for node in self.nodes))
        fifth = [f"{ends[ENDS - 1] - self.trouble_at:.1f}" for ends in self.ends.values()
                 if len(ends) >= ENDS]
        self.summary = (f"{self.ended} engines ended, fifth end after {fifth} s, late requests "
                        f"{list(self.late_arrivals.values())}, sound served {before:.2f}, {after:.2f}")


def run_series(world_type):
    parser = argparse.ArgumentParser()
    parser.add_argument("--binary", required=True)
    parser.add_argument("--previous", help="program of another version, on every second node")
    parser.add_argument("--series", choices=world_type.all_series, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--keep", help="folder for the logs; a temporary one by default")
    options = parser.parse_args()
    options.binaries = [os.path.abspath(path) for path in (options.binary, options.previous) if path]
    folder = options.keep or tempfile.mkdtemp(prefix="soak-")
    os.makedirs(folder, exist_ok=True)
    world = world_type(options, folder)
    try:
        asyncio.run(run_quietly(world))
    finally:
        for node in getattr(world, "nodes", []):
            node.signal(signal.SIGKILL)
    print(f"series {options.series}, seed {options.seed}: {world.summary}")
    for text in world.findings:
        print(f"FINDING {options.series} seed {options.seed}: {text}")
    if world.findings:
        print(f"logs: {folder}")
    return 1 if world.findings else 0


if __name__ == "__main__":
    sys.exit(run_series(EngineEnds))
