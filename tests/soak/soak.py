#!/usr/bin/env python3
"""Randomized fault soak test of `fuchsiaquay entry`: runs real processes, injects external faults, and
checks the guarantees from what callers and upstreams observe.

    soak.py --binary build/main/fuchsiaquay --seed 1 --seconds 20 [--nodes 3] [--keep DIR]
            [--previous OLD_PROGRAM]

The same seed draws the same faults; timing differs from run to run. Exit code 0: all guarantees
held; 1: one was violated; prints the seed, the findings and the log folder. Only processes that it started
are killed.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time

from callers import Connection, ConnectionEnded
from lost import Ending, LossJudge
from stand_ins import Store, Upstream, Wire, seeded

REVOKE_S = 5.0            # a revoked key must not be accepted later than this
DRAIN_S = 2.0             # an upstream that left the catalogue must get no new requests later than this
TIMEOUT_S = {"order": 1.5, "lookup": 1.5, "chat": 8.0, "season": 8.0}
ANSWER_SLACK_S = 1.5      # tolerance after a request's limit, for a loaded machine and frozen nodes
SETTLE_S = 8.0            # from the last fault to normal service
CALM_S = 4.0              # period of normal service that is checked
FROZEN_S = 3.0
FIRST_PORT, PORT_COUNT = 10000, 12000     # below the ephemeral ports of the system


def claim_ports(count):
    """Returns free ports and the sockets that reserve them; see tests/scenarios/runner/port_claims.hpp."""
    claims, start = {}, random.randrange(PORT_COUNT)
    for step in range(PORT_COUNT):
        port, claim = FIRST_PORT + (start + step) % PORT_COUNT, socket.socket()
        try:
            claim.bind(("127.0.0.2", port))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
            claims[port] = claim
        except OSError:
            claim.close()
        if len(claims) == count:
            return claims
    raise RuntimeError(f"{count} ports wanted, {len(claims)} free")


class Node:
    def __init__(self, binaries, folder, number):
        self.binaries, self.name, self.folder = binaries, f"n{number}", folder
        self.starts = number
        self.claims = claim_ports(5)
        (self.callers, self.ready, self.directory, self.metrics, self.peers) = self.claims
        self.process = None

    node_settings = ""

    async def prepare(self, store):
        self.store_wire = await Wire(store.port).open()
        self.caller_wire = await Wire(self.callers).open()
        open(os.path.join(self.folder, f"{self.name}.log"), "w").close()    # it may be of another run
        self.config = os.path.join(self.folder, f"{self.name}.ini")
        with open(self.config, "w") as file:
            file.write(f"""[node]
host = {self.name}
data_centre = z1
{self.node_settings}
[listen]
callers = 127.0.0.1:{self.callers}
readiness = 127.0.0.1:{self.ready}
directory = 127.0.0.1:{self.directory}
metrics_port = {self.metrics}
announcement_port = {self.peers}
[store]
address = 127.0.0.1:{self.store_wire.port}
""")

    async def start(self):
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        binary = self.binaries[self.starts % len(self.binaries)]
        self.starts += 1
        self.process = await asyncio.create_subprocess_exec(
            binary, "entry", "--config", self.config, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number, limit):
        self.signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), limit)
            return True
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
            return False


class World:
    """All processes and callers of a run, and the findings."""

    events = 12
    max_body_bytes = 2_000_000
    node_type, upstream_type = Node, Upstream
    added_routes = ()

    def __init__(self, options, folder):
        self.options, self.folder = options, folder
        self.rng = seeded(options.seed, "faults")
        self.runs = {}
        self.findings = []
        self.outcomes = []
        self.revoked = {}
        self.gone = {}
        self.calm_from = None
        self.stopped = False
        self.number = 0
        self.losses = LossJudge()
        self.departures = []

    def finding(self, text):
        self.findings.append(f"{time.monotonic() - self.began:.2f} s: {text}")

    def event(self, request, number):
        return f"id: {number}\ndata: {request} {number}\n\n".encode()

    # Checks on the requests that arrive at upstreams.
    def arrived(self, request, upstream, target, headers):
        now = time.monotonic() - headers.get("paused", 0.0)
        kind = target.split("/")[1]
        runs = self.runs.setdefault(request, [])
        runs.append(upstream.name)
        if kind == "order" and len(runs) > 1:
            self.finding(f"{request} may not be repeated and ran at {runs}")
        if "authorization" in headers:
            self.finding(f"{request}: the key was shown to {upstream.name}")
        if headers.get("x-tenant") != "kim":
            self.finding(f"{request}: customer {headers.get('x-tenant')} at {upstream.name}")
        left = self.gone.get(upstream.name)
        if left and now - left > DRAIN_S + 1.0 and self.store_was_well_since(left):
            self.finding(f"{request} sent to {upstream.name}, which left {now - left:.1f} s ago")
        return self.losses.arrived(request, upstream.name, now)

    def store_was_well_since(self, when):
        return self.last_store_fault < when

    async def open(self):
        self.began = time.monotonic()
        self.last_store_fault = self.began - 60
        self.store = await Store(seeded(self.options.seed, "store")).open()
        self.keys = ["k0", "k1", "k2"]
        self.version = 1
        self.configure()
        self.upstreams = []
        for service, count in (("llm", 4), ("shop", 3)):
            for _ in range(count):
                await self.add_upstream(service)
        self.nodes = [self.node_type(self.options.binaries, self.folder, i)
                      for i in range(self.options.nodes)]
        for node in self.nodes:
            await node.prepare(self.store)
            await node.start()
        await asyncio.sleep(2.0)

    async def run(self):
        await self.open()
        callers = [asyncio.create_task(self.caller(i)) for i in range(14)]
        faults = [asyncio.create_task(self.trouble(i, self.options.seconds)) for i in range(3)]
        await asyncio.gather(*faults)
        self.calm_from = time.monotonic() + SETTLE_S
        await asyncio.sleep(SETTLE_S + CALM_S)
        self.stopped = True
        await asyncio.gather(*callers)
        await self.finish()

    def configure(self, target_s=0.25, slots=16):
        self.losses.configurations.append(time.monotonic())

        def route(prefix, kind, attempts, service):
            return {"name": prefix, "host": "h", "prefix": f"/{prefix}/", "kind": kind,
                    "timeout_ms": int(TIMEOUT_S[prefix] * 1000), "target_latency_ms": int(target_s * 1000),
                    "priority": 0, "max_attempts": attempts, "service": service,
                    "resume_streams": True, "target_gap_ms": 200}
        engine = {"slots": slots, "kv_capacity_tokens": 450000, "stride": 30, "step_ms": 1.0,
                  "read_per_s": 256000.0, "pairs_per_m": 0.0917, "chunk": 2048}
        self.store.put("op/config", json.dumps({
            "version": self.version,
            "routes": [route("order", "non_idempotent", 1, "shop"),
                       route("lookup", "idempotent", 2, "shop"),
                       route("chat", "stream", 2, "llm"), route("season", "stream", 2, "llm"),
                       *(dict(route("lookup", "idempotent", 2, "shop"), name=name, prefix=f"/{name}/")
                         for name in self.added_routes)],
            "services": [{"name": "llm", "max_conns": 400, "engine": engine},
                         {"name": "shop", "max_conns": 100}],
            "limits": {"idle_timeout_ms": 15000, "max_body_bytes": self.max_body_bytes},
            "tenants": [{"name": "kim", "api_keys": self.keys}]}))

    async def add_upstream(self, service):
        self.number += 1
        upstream = self.upstream_type(seeded(self.options.seed, self.number), f"i-{self.number}",
                                      service, self)
        await upstream.open()
        upstream.wire = await Wire(upstream.port).open()
        self.upstreams.append(upstream)
        self.store.put(f"servers/{upstream.name}", upstream.entry(upstream.wire.port))

    # Callers.
    async def caller(self, index):
        rng = seeded(self.options.seed, f"caller {index}")
        kind = ["order", "lookup", "chat", "season"][index % 4]
        connection, count = None, 0
        while not self.stopped:
            count += 1
            request = f"{kind}-{index}-{count}"
            node = rng.choice(self.nodes)
            key = rng.choice(["k0", "k1", "k2"])
            sent = time.monotonic()
            try:
                if connection is None or rng.random() < 0.3:
                    connection = await Connection(node.name).open(node.caller_wire.port)
                answer = await asyncio.wait_for(self.ask(connection, kind, request, key),
                                                TIMEOUT_S[kind] + ANSWER_SLACK_S + FROZEN_S)
                connection = None if answer[3] else connection
            except asyncio.TimeoutError:
                answer, connection = ("late", b"", {}, True), None
            except (ConnectionEnded, OSError) as error:
                self.note_ending(connection, kind, request, error)
                answer, connection = ("broken", b"", {}, True), None
            if connection:
                self.losses.requests.append((connection.host, time.monotonic()))
            self.judge(kind, request, key, sent, answer)
            self.outcomes.append((sent, kind, answer[0]))
            await asyncio.sleep(rng.uniform(0.05, 0.25))
        if connection:
            connection.close()

    async def ask(self, connection, kind, request, key):
        tokens = {"chat": "2000,500", "season": "480000,500"}.get(kind, "1,1")
        await connection.send(self.head(kind, request, key, tokens, 4), b"body")
        status, headers, body = await connection.receive()
        return status, body, headers, headers.get("connection") == "close"

    def head(self, kind, request, key, tokens, body_size, query=""):
        return (f"POST /{kind}/{request}{query} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {request}\r\n"
                f"Authorization: Token {key}\r\nX-Token-Counts: {tokens}\r\n"
                f"X-Deadline-Ms: {int(TIMEOUT_S[kind] * 1000)}\r\n"
                f"Content-Length: {body_size}\r\n\r\n").encode()

    def note_ending(self, connection, kind, request, error):
        """Records a connection that ended before the answer was complete."""
        if not isinstance(error, ConnectionEnded):
            return
        now = time.monotonic()
        self.losses.requests.append((connection.host, now))
        self.losses.connection_ended(Ending(
            request, connection.host, connection.began, connection.sent, now, TIMEOUT_S[kind],
            error.how, error.received, connection.served > 0))

    async def ask_apart(self, node, kind, request, tokens, body):
        """Sends one request on a connection of its own, judges the answer and returns its status."""
        began, connection = time.monotonic(), None
        try:
            connection = await Connection(request).open(node.callers)
            await connection.send(self.head(kind, request, "k0", tokens, len(body)), body)
            status, headers, text = await asyncio.wait_for(connection.receive(),
                                                           TIMEOUT_S[kind] + ANSWER_SLACK_S)
        except asyncio.TimeoutError:
            status, headers, text = "late", {}, b""
        except (ConnectionEnded, OSError):
            status, headers, text = "cut", {}, b""
        if connection:
            connection.close()
        self.judge(kind, request, "k0", began, (status, text, headers, True))
        return status

    def judge(self, kind, request, key, sent, answer):
        status, body, headers, _ = answer
        if status == "late":
            self.finding(f"{request} had no answer {time.monotonic() - sent:.1f} s after it was sent")
        if status in (503, 429, 408, 421) and self.runs.get(request):
            self.finding(f"{request} was answered {status} and ran at {self.runs[request]}")
        if status == 200:
            seal = headers.get("x-response-seal", "")
            if not seal.endswith(f".{request}") or seal.split(".")[0] not in self.runs.get(request, []):
                self.finding(f"{request} got an answer with the seal '{seal}'")
            expected = f"{request} /{kind}/{request}".encode()
            if kind in ("chat", "season"):
                expected = b"".join(self.event(request, n) for n in range(1, self.events + 1))
            if body != expected:
                self.finding(f"{request} got a body of {len(body)} bytes that is not the upstream's")
            taken = self.revoked.get(key)
            if taken and sent - taken > REVOKE_S:
                self.finding(f"{request} ran {sent - taken:.1f} s after its key was revoked")
        if status in (400, 404) or (status == 401 and key not in self.revoked):
            self.finding(f"{request} was refused with {status}")

    # Fault injection: several overlapping series.
    async def trouble(self, index, seconds):
        rng = seeded(self.options.seed, f"trouble {index}")
        end = time.monotonic() + seconds
        kinds = [self.fault_node, self.fault_store, self.fault_upstream, self.fault_wire,
                 self.change]
        while time.monotonic() < end:
            await rng.choice(kinds)(rng)
            await asyncio.sleep(rng.uniform(0.2, 1.5))

    async def fault_node(self, rng):
        node = rng.choice(self.nodes)
        if getattr(node, "busy", False):
            return
        node.busy = True
        how = rng.choice(["term", "kill", "stop", "hup"])
        now = time.monotonic()
        if how == "term":
            self.losses.term(node.name, now)
            if not await node.end(signal.SIGTERM, 9.0):
                self.finding(f"{node.name} was still there 9 s after SIGTERM")
            await node.start()
        elif how == "kill":
            fault = self.losses.fault(node.name, now)
            await node.end(signal.SIGKILL, 2.0)
            await node.start()
            fault[2] = time.monotonic()
        elif how == "stop":
            fault = self.losses.fault(node.name, now)
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.5, FROZEN_S))
            node.signal(signal.SIGCONT)
            fault[2] = time.monotonic()
        else:
            self.losses.hup(node.name, now)
            node.signal(signal.SIGHUP)
        node.busy = False

    async def fault_store(self, rng):
        self.last_store_fault = time.monotonic() + 60
        fault = self.losses.fault("store", time.monotonic())
        self.store.mode = rng.choice(["down", "busy", "slow", "lost", "silent"])
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        self.store.mode = "well"
        if rng.random() < 0.5:
            self.store.compact()
        self.last_store_fault = fault[2] = time.monotonic()

    async def fault_upstream(self, rng):
        upstream = rng.choice([u for u in self.upstreams if u.name not in self.gone])
        fault = self.losses.fault(upstream.name, time.monotonic())
        upstream.mode = rng.choice(["mute", "lose", "full", "extra", "repeat", "repeat_unnamed"])
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        upstream.mode = "well"
        fault[2] = time.monotonic()

    async def fault_wire(self, rng):
        name, wire = rng.choice([(n.name, n.store_wire) for n in self.nodes] +
                                [(n.name, n.caller_wire) for n in self.nodes] +
                                [(u.name, u.wire) for u in self.upstreams])
        self.last_store_fault = time.monotonic() + 60
        fault = self.losses.fault(name, time.monotonic())
        wire.mode = rng.choice(["slow", "reset", "silent", "one_way"])
        if wire.mode == "reset":
            wire.reset()
        await asyncio.sleep(rng.uniform(0.3, 2.5))
        wire.mode = "well"
        wire.reset()
        self.last_store_fault = fault[2] = time.monotonic()

    async def change(self, rng):
        what = rng.choice(["version", "revoke", "replace"])
        self.version += rng.randrange(1, 4)
        if what == "revoke" and len(self.keys) > 1:
            key = self.keys.pop()
            self.configure()
            self.revoked[key] = time.monotonic()
        elif what == "replace":
            old = rng.choice([u for u in self.upstreams if u.name not in self.gone])
            await self.add_upstream(old.service)
            self.store.put(f"servers/{old.name}", old.entry(old.wire.port, "draining"))
            self.gone[old.name] = time.monotonic()
            await asyncio.sleep(0.5)
            self.store.remove(f"servers/{old.name}")
        else:
            self.configure()

    async def finish(self):
        calm = [status for sent, _, status in self.outcomes if sent > self.calm_from]
        served = [s for s in calm if s in (200, 401)]
        if len(served) < 0.9 * len(calm) or not calm:
            self.finding(f"{len(served)} of {len(calm)} served after the faults")
        await asyncio.sleep(4.0)
        now = time.monotonic()
        for upstream in self.upstreams:
            held = [i for i, end in upstream.reserved.items() if end > now]
            if held:
                self.finding(f"{upstream.name} still holds {held}")
        ended = await asyncio.gather(*(node.end(signal.SIGTERM, 9.0) for node in self.nodes))
        for node, in_time in zip(self.nodes, ended):
            if not in_time:
                self.finding(f"{node.name} was still there 9 s after SIGTERM")
        self.judge_losses()

    def judge_losses(self):
        lines = {}
        for node in self.nodes:
            with open(os.path.join(self.folder, f"{node.name}.log"), errors="replace") as log:
                for line in log:
                    _, found, rest = line.partition(" request=")
                    if found:
                        lines.setdefault(rest.split(" ", 1)[0], []).append(line.strip())
        lost, others = self.losses.findings(lines.keys())
        for ending, text in lost:
            logged = lines.get(ending.request, ["not in the logs"])
            self.findings.append(f"{ending.ended - self.began:.2f} s: {text}")
            self.findings[-1] += "".join(f"\n    {line}" for line in logged)
        excuses = ", ".join(f"{reason}: {count}" for reason, count in sorted(others.items()))
        self.summary = (f"{len(self.losses.endings)} connections ended without a whole answer, "
                        f"{len(lost)} LOST; not judged: {excuses or 'none'}")


async def run_quietly(world):
    # Connections that are reset at the end are expected.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    await world.run()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--binary", required=True)
    parser.add_argument("--previous", help="program of another version: every second node runs it, "
                        "and each restart changes the node's program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--keep", help="folder for the logs; a temporary one by default")
    parser.add_argument("--planned", metavar="SERIES",
                        help="only planned work: the name of a series of planned.py, such as `all`")
    options = parser.parse_args()
    options.binaries = [os.path.abspath(path) for path in (options.binary, options.previous) if path]
    folder = options.keep or tempfile.mkdtemp(prefix="soak-")
    os.makedirs(folder, exist_ok=True)
    if options.planned:
        from planned import PlannedWorld as World
    else:
        from soak import World
    world = World(options, folder)
    try:
        asyncio.run(run_quietly(world))
    finally:
        for node in getattr(world, "nodes", []):
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
    counts = {}
    for _, kind, status in world.outcomes:
        counts[f"{kind} {status}"] = counts.get(f"{kind} {status}", 0) + 1
    print(f"seed {options.seed}:", ", ".join(f"{k}: {v}" for k, v in sorted(counts.items())))
    print(f"seed {options.seed}: {world.summary}")
    for text in world.findings:
        print(f"FINDING seed {options.seed}: {text}")
    if world.findings:
        print(f"logs: {folder}")
    return 1 if world.findings else 0


if __name__ == "__main__":
    sys.exit(main())
