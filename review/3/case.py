"""A part of some prompts crashes each engine that begins to answer; engines come back under their id."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from harness import (TROUBLE, Connection, ConnectionEnded, CouldNotRun, GaveUp, World, head, limits,
                     play, route)
from engine import PROFILE, Engine

STABLE_S = 3.0            # stable_window_ms
KNOWN_CRASHES, ALLOWED = 5, 3
DOWN_S = 2.5              # an engine is back after some seconds
PERIOD_S = 4.0            # one request with the part, and one sound one, in this time
REQUESTS = 14
COMMON, BAD = "c0de0001", "bad00001"
CONFIGURATION = {
    "routes": [route("chat", "stream", "mycel-llm", timeout_ms=10000, target_latency_ms=1000,
                     resume_streams=True, target_gap_ms=200, sticky=True)],
    "services": [{"name": "mycel-llm", "health_path": "/health", "max_conns": 434, "engine": PROFILE}],
    "limits": limits(), "tenants": [{"name": "kim", "api_keys": ["key-1"]}]}


class MortalEngine(Engine):
    """Crashes when it begins to write an answer on the part, and starts again under the same id."""

    world, crashes, arrivals = None, [], []

    async def respond(self, method, target, headers, body, echo, writer):
        parts = [part.split(":")[0] for part in headers.get("x-prompt-prefix", "").split(",")][:-1]
        if BAD not in parts:
            await super().respond(method, target, headers, body, echo, writer)
            return
        request = headers["x-attempt-id"]
        self.arrivals.append((time.monotonic(), request))
        self.record.write(f"{request}, which has the part, reaches {self.name}")
        if not TROUBLE:
            await super().respond(method, target, headers, body, echo, writer)
            return
        await asyncio.sleep(0.05)
        rows = echo + [("X-Response-Seal", f"{self.name}.{request}"), ("Transfer-Encoding", "chunked")]
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in rows) + "\r\n").encode())
        await writer.drain()
        self.crashes.append(time.monotonic())
        self.record.write(f"{self.name} crashes, number {len(self.crashes)}")
        await self.crash()
        self.world.beats.append(asyncio.create_task(self.come_back()))
        raise ConnectionError

    async def come_back(self):
        await asyncio.sleep(DOWN_S)
        await self.open(self.port)
        self.born, self.reports = int(time.time() * 1000), True
        self.world.store.put(f"servers/{self.name}", self.entry())
        self.record.write(f"{self.name} is back: same id, same address, born {self.born}")


async def ask(host, request, parts, record):
    connection = await Connection(host.name).open(host.callers)
    prefix = ",".join(f"{part}:500" for part in parts + [f"{abs(hash(request)) % 2**32:08x}"])
    await connection.send(head("POST", f"/chat/{request}", request, 4, deadline_ms=10000, extra=[
        ("X-Token-Counts", "2000,300"), ("X-Model", "m"), ("X-Prompt-Prefix", prefix)]), b"body")
    try:
        status, _, _ = await connection.receive(patience=11)
    except (ConnectionEnded, GaveUp) as error:
        status = repr(error)
    connection.close()
    record.write(f"client gets {status} for {request}")
    return status


def late_arrivals():
    if len(MortalEngine.crashes) < KNOWN_CRASHES:
        return []
    known_at = MortalEngine.crashes[KNOWN_CRASHES - 1] + STABLE_S
    return [request for at, request in MortalEngine.arrivals if at > known_at]


async def case(record, folder):
    world = MortalEngine.world = World(record, folder)
    try:
        engines = [MortalEngine(f"i-{n}", "mycel-llm", record, reading_s=0.05, gap_s=0.03) for n in range(6)]
        await world.open(3, engines, CONFIGURATION)
        for number in range(REQUESTS):
            host = world.hosts[number % len(world.hosts)]
            if await ask(host, f"sound-{number}", [COMMON], record) != 200 and number == 0:
                raise CouldNotRun("a sound request was not served")
            await ask(world.hosts[(number + 1) % 3], f"bad-{number}", [COMMON, BAD], record)
            await asyncio.sleep(PERIOD_S)
        late = late_arrivals()
        record.write(f"{len(MortalEngine.crashes)} crashes; {len(late)} arrivals of requests with the part later "
                     f"than {STABLE_S} s after the fifth crash, {ALLOWED} are allowed")
        return len(late) <= ALLOWED
    finally:
        await world.close()


play(case)
