"""A small deployment on loopback: stand-ins of the platform's store, engines, services and clients,
and the entry program as the deploy file runs it. Figures are those of `sites/sporebox-kr.toml`."""

import asyncio
import ctypes
import json
import os
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(ROOT, "tests", "soak"))
from stand_ins import HttpServer, Store, message  # noqa: E402  (the project's own stand-ins)

PROGRAM = os.environ.get("PROGRAM") or os.path.join(ROOT, "target", "main", "fuchsiaquay")
KEY = "n2ctnfzs989anu6wsjnb"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMITS = {"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIBC, PR_SET_PDEATHSIG = ctypes.CDLL(None), 1


def free_ports(count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Record:
    """`record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began, self.file = time.monotonic(), open(path, "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Engine(HttpServer):
    """A model engine (`llm`) or plain service. Runs are counted by attempt id."""

    def __init__(self, name, service, record, events=10, gap_s=0.02, work_s=0.02):
        self.name, self.service, self.record = name, service, record
        self.events, self.gap_s, self.work_s = events, gap_s, work_s
        self.runs, self.leaving, self.born = {}, False, int(time.time() * 1000)

    def entry(self, state="ready", **more):
        return json.dumps(dict({
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "kr-central-a",
            "version": "v1", "slots": 16 if self.service == "llm" else 6, "state": state,
            "cold_ms": 0, "seq": 1, "born": self.born}, **more))

    async def answer(self, line, headers, body, writer):
        _method, target, _ = line.split(" ")
        if target == "/order":
            writer.write(message(200, b'{"free":1000}'))
            return
        request = headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", request)]
        if headers.get("x-expect-instance") not in (None, self.name):
            writer.write(message(421, headers=echo))
            return
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record(f"{self.name} runs {request}")
        echo.append(("X-Response-Seal", f"{self.name}.{request}"))
        await self.respond(target, headers, body, echo, writer)

    async def respond(self, target, headers, body, echo, writer):
        if self.service != "llm":
            await asyncio.sleep(self.work_s)
            writer.write(message(200, f"{target} {len(body)}".encode(), echo))
            return
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"] + [f"{n}: {v}" for n, v in echo]
        writer.write(("\r\n".join(head) + "\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id", "0")) + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {echo[0][1]}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Host:
    """One machine with the entry role: 260 MB, 4,100 descriptors, 0.25 cores."""

    def __init__(self, fleet, name, zone="kr-central-a", memory_mb=260, descriptors=4100):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.memory_mb, self.descriptors = memory_mb, descriptors
        (self.callers, self.ready, self.directory, self.metrics,
         self.datagrams) = free_ports(5)
        self.store_port = None      # default: the store itself
        self.process = None

    def settings(self):
        return f"""[node]
host = {self.name}
data_centre = {self.zone}
address = 127.0.0.1
memory_mb = {self.memory_mb}
descriptors = {self.descriptors}
processor_share = 0.25
[listen]
callers = 127.0.0.1:{self.callers}
readiness = 127.0.0.1:{self.ready}
directory = 127.0.0.1:{self.directory}
metrics_port = {self.metrics}
announcement_port = {self.datagrams}
[store]
address = 127.0.0.1:{self.store_port or self.fleet.store.port}
[configuration]
revocation_ms = 5000
apply_ms = 2000
[fleet]
data_centres = kr-central-a,kr-central-b,kr-central-c
[shutdown]
grace_s = 8
[retries]
ratio = 0.2
window_s = 10
allowance = 106
"""

    async def start(self):
        path = os.path.join(self.fleet.folder, f"{self.name}.ini")
        with open(path, "w") as file:
            file.write(self.settings())
        limit = (self.descriptors, self.descriptors)

        def prepare():
            resource.setrlimit(resource.RLIMIT_NOFILE, limit)
            LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)    # no host outlives the case
        self.log = os.path.join(self.fleet.folder, f"{self.name}.log")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "entry", "--config", path, stdout=log, stderr=log, cwd=ROOT,
                preexec_fn=prepare)
        self.fleet.record(f"{self.name} started")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.fleet.record(f"{self.name} got {signal.Signals(number).name}")

    def descriptors_in_use(self):
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return -1

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/statm") as file:
                return int(file.read().split()[1]) * resource.getpagesize() / 1048576
        except OSError:
            return -1.0

    async def is_ready(self):
        try:
            return (await call(self.ready, b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n", 1.0))[0] == 200
        except Exception:
            return False

    async def wait_ready(self, seconds=15.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Fleet:
    def __init__(self, case_folder, hosts=1):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(random.Random(1))
        self.engines, self.version = [], 7
        self.hosts = [Host(self, f"front-{i + 1}") for i in range(hosts)]

    def configure(self, keys=(KEY,), limits=None, **changes):
        def route(prefix, kind, attempts, service, timeout, target):
            return {"name": f"r-{prefix}", "host": "h", "prefix": f"/{prefix}/", "kind": kind,
                    "timeout_ms": timeout, "target_latency_ms": target, "priority": 0,
                    "max_attempts": attempts, "service": service, "public": False,
                    "resume_streams": kind == "stream", "target_gap_ms": 200}
        engine = {"slots": 16, "kv_capacity_tokens": 450000, "stride": 46, "step_ms": 0.925,
                  "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0,
                  "pairs_per_m": 0.0917, "chunk": 2048, "hop_ms": 0.1,
                  "usual": {"prompt": 13227, "answer": 1541}}
        self.version += 1
        document = {"version": self.version,
                    "routes": [route("chat", "stream", 2, "llm", 10000, 250),
                               route("order", "non_idempotent", 1, "shop", 800, 150),
                               route("lookup", "idempotent", 2, "shop", 800, 150)],
                    "services": [{"name": "llm", "health_path": "/health", "max_conns": 434,
                                  "engine": engine},
                                 {"name": "shop", "health_path": "/health", "max_conns": 110}],
                    "limits": limits or LIMITS,
                    "tenants": [{"name": "hule930", "api_keys": list(keys), "priority": 1}]}
        document.update(changes)
        self.store.put("op/config", json.dumps(document))
        self.record(f"op/config version {self.version}")

    async def add_engine(self, service, kind=Engine, **more):
        engine = kind(f"i-{len(self.engines) + 1}", service, self.record, **more)
        await engine.open()
        self.engines.append(engine)
        self.store.put(f"servers/{engine.name}", engine.entry())
        return engine

    async def start(self, llm=2, shop=2):
        await self.store.open()
        self.configure()
        for service, count in (("llm", llm), ("shop", shop)):
            for _ in range(count):
                await self.add_engine(service)
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            if not await host.wait_ready():
                raise NotRun(f"{host.name} is not ready")
        await asyncio.sleep(1.0)

    async def end(self):
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        await self.store.close()
        for engine in self.engines:
            await engine.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class NotRun(Exception):
    pass


def head(path, request, method="GET", deadline_ms=1500, key=KEY, more=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {request}\r\n"
            f"Authorization: Token {key}\r\nX-Deadline-Ms: {deadline_ms}\r\n{more}\r\n").encode()


async def read_answer(reader):
    """Status, headers and body of one answer; raises when it is not complete."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for row in lines[1:-2]:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return int(lines[0].split(" ")[1]), headers, body


async def call(port, data, seconds):
    """One request on a new channel."""
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        await writer.drain()
        return await read_answer(reader)
    try:
        return await asyncio.wait_for(run(), seconds)
    finally:
        if writer:
            writer.transport.abort()


def run_case(main, case_folder):
    """Runs the coroutine `main()`; exits with 0, 1 or 2."""
    try:
        code = asyncio.run(asyncio.wait_for(main(), 115))
    except NotRun as error:
        print("not run:", error)
        code = NOT_RUN
    except BaseException as error:  # an error of the case itself is no broken rule
        print("not run:", repr(error))
        code = NOT_RUN
    sys.exit(code)
