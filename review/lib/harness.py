"""Starts entry hosts with the command of the deploy file and stand-ins of the platform around them.

The store, the HTTP helpers and the callers' connection come from `tests/soak`, the engines and services
are defined here. Everything listens on loopback addresses and on free ports.
"""

import asyncio
import ctypes
import json
import os
import random
import signal
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
sys.dont_write_bytecode = True

from callers import Connection, ConnectionEnded, GaveUp  # noqa: E402,F401
from soak import claim_ports  # noqa: E402
from stand_ins import HttpServer, Store, message  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "main", "fuchsiaquay")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110
LIBC, PR_SET_PDEATHSIG = ctypes.CDLL(None), 1
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played as described."""


def end_with_parent():
    """Runs in a new host process: the kernel kills it when the script ends without having done so."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Record:
    """Lines of what was sent, answered and run, with seconds from the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
        self.file.flush()


class Host:
    """One entry host, a process of its own."""

    def __init__(self, name, zone, zones, folder, store_port):
        self.name, self.process = name, None
        self.claims = claim_ports(5)
        self.callers, self.ready, self.directory, self.metrics, self.peers = self.claims
        self.config = os.path.join(folder, f"{name}.ini")
        self.log = os.path.join(folder, f"{name}.log")
        with open(self.config, "w", encoding="utf-8") as file:
            file.write(f"""[node]
host = {name}
data_centre = {zone}
address = 127.0.0.1
memory_mb = 260
processor_share = 0.25

[listen]
callers = 127.0.0.1:{self.callers}
readiness = 127.0.0.1:{self.ready}
directory = 127.0.0.1:{self.directory}
metrics_port = {self.metrics}
announcement_port = {self.peers}

[store]
address = 127.0.0.1:{store_port}

[configuration]
revocation_ms = 5000

[fleet]
data_centres = {",".join(zones)}

[shutdown]
grace_s = 8

[retries]
ratio = 0.2
window_s = 10
allowance = 106
""")

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "entry", "--config", self.config, stdout=log, stderr=log,
                preexec_fn=end_with_parent)

    async def end(self, number=signal.SIGKILL, limit=9.0):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            try:
                await asyncio.wait_for(self.process.wait(), limit)
            except asyncio.TimeoutError:
                self.process.kill()
                await self.process.wait()

    async def is_ready(self):
        try:
            connection = await Connection(self.name).open(self.ready)
            await connection.send(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n", b"")
            status, _, _ = await connection.receive(patience=1.0)
            connection.close()
            return status == 200
        except (OSError, ConnectionEnded, GaveUp):
            return False

    async def wait_until_ready(self, limit=10.0):
        end = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CouldNotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.05)


class Service(HttpServer):
    """A plain service that behaves as the pages say. Subclasses change `respond`."""

    def __init__(self, name, service, record):
        self.name, self.service, self.record = name, service, record
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.runs = []
        self.state = "ready"

    async def open(self, port=0):
        self.connections = {}
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self):
        self.seq += 1
        return json.dumps({"service": self.service, "address": f"127.0.0.1:{self.port}",
                           "zone": "z1", "version": "v1", "slots": 6, "state": self.state,
                           "cold_ms": 0, "seq": self.seq, "born": self.born})

    async def answer(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        request = headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", request)] if request else []
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(message(421, headers=echo + [("X-Instance-Id", self.name)]))
            return
        await self.respond(method, target, headers, body, echo, writer)

    async def respond(self, method, target, headers, body, echo, writer):
        request = headers["x-attempt-id"]
        self.runs.append((request, time.monotonic()))
        self.record.write(f"{self.name} runs {request}")
        await asyncio.sleep(0.02)
        writer.write(message(200, f"{request} {target}".encode(),
                             echo + [("X-Response-Seal", f"{self.name}.{request}")]))


class World:
    """Store, upstreams and hosts of one run."""

    def __init__(self, record, folder, zones=("z1", "z2", "z3")):
        self.record, self.folder, self.zones = record, folder, zones
        self.hosts, self.upstreams, self.beats, self.store = [], [], [], None

    async def open(self, hosts=3, upstreams=(), configuration=None):
        self.store = await Store(random.Random(1)).open()
        self.version = 0
        if configuration:
            self.configure(configuration)
        for upstream in upstreams:
            await self.add_upstream(upstream)
        for number in range(hosts):
            zone = self.zones[number % len(self.zones)]
            host = Host(f"entry-{number + 1}", zone, self.zones, self.folder, self.store.port)
            self.hosts.append(host)
            await host.start()
        for host in self.hosts:
            await host.wait_until_ready()
        await asyncio.sleep(1.5)

    def configure(self, configuration):
        self.version += 1
        self.store.put("op/config", json.dumps(dict(configuration, version=self.version)))
        self.record.write(f"the store acknowledges configuration {self.version}")
        return time.monotonic()

    async def add_upstream(self, upstream, port=0):
        await upstream.open(port)
        upstream.reports = True
        self.upstreams.append(upstream)
        self.store.put(f"servers/{upstream.name}", upstream.entry())
        self.beats.append(asyncio.create_task(self.report(upstream)))

    async def report(self, upstream):
        """Status reports every 1.2 s while the upstream reaches the store."""
        while True:
            await asyncio.sleep(1.2)
            if upstream.reports:
                self.store.put(f"servers/{upstream.name}", upstream.entry())

    async def close(self):
        for host in self.hosts:
            await host.end()
        for beat in self.beats:
            beat.cancel()
        for upstream in self.upstreams:
            await upstream.close()
        if self.store:
            await self.store.close()


def route(name, kind, service, **values):
    return dict({"name": name, "host": "h.example", "prefix": f"/{name}/", "kind": kind,
                 "timeout_ms": 3000, "target_latency_ms": 300, "priority": 0, "max_attempts":
                 1 if kind == "non_idempotent" else 2, "public": False, "service": service}, **values)


def limits(**values):
    return dict({"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                 "idle_timeout_ms": 15000}, **values)


def head(method, path, request, body_size=None, key="key-1", extra=(), deadline_ms=3000):
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example", f"X-Attempt-Id: {request}",
             f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Token {key}"]
    lines += [f"{name}: {value}" for name, value in extra]
    if body_size is not None:
        lines.append(f"Content-Length: {body_size}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def run_bounded(case):
    """SIGTERM cancels the case, which then ends its processes."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await asyncio.wait_for(case, LIMIT_S)


def play(case):
    """Runs `case(record, folder)`, which returns whether the rule held. Exits with the result."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    record.write(f"TROUBLE={1 if TROUBLE else 0}")
    with tempfile.TemporaryDirectory() as logs:
        try:
            held = asyncio.run(run_bounded(case(record, os.environ.get("KEEP") or logs)))
        except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
            # Only a verdict of the case may end with BROKEN.
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            sys.exit(COULD_NOT_RUN)
    result = "the rule held" if held else "THE RULE WAS BROKEN"
    record.write(result)
    print(result)
    sys.exit(HELD if held else BROKEN)
