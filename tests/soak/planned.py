"""Soak of planned work only: stops, reloads, configurations and upstreams that leave in good order,
while engines pause, bodies arrive late and callers read slowly. Frozen hosts are the only disturbance."""

import asyncio
import os
import signal
import time

from callers import Connection, ConnectionEnded, GaveUp
from soak import ANSWER_SLACK_S, TIMEOUT_S, Node, World
from stand_ins import Upstream, message, read_message, seeded

CACHE_S = 2.0             # most callers avoid a host this long after its SIGTERM
LEAVE_S = (2.5, 6.0)      # an upstream ends so long after its entry has gone, once it is idle

# Numbers of callers, shares of requests, and lengths in seconds.
MIX = {"callers": 21, "season_callers": 3, "gaps": (0.03, 0.15, 0.3), "target": 1.0,
       "pause": 0.3, "engine_pause": 0.1, "pauses": (0.5, 1.9), "gateway_timeout": 0.02,
       "slow_upload": 0.05, "upload_pauses": (0.5, 3.5), "large_body": 0.15, "late_body": 0.1,
       "slow_reader": 0.08, "reader_pauses": (0.5, 4.5), "reader_buffer": 4096,
       "large_prompt": 0.08, "stop": 0.5, "freeze": 0.02, "slots": 16}
ONE_RISK = {"pause": 0, "engine_pause": 0, "slow_reader": 0, "freeze": 0, "large_prompt": 0,
            "season_callers": 0, "callers": 21, "stop": 0.4}
# What a run of each name changes: one risk at a time, or all together.
SERIES = {
    "all": {},
    "engine_pauses": {**ONE_RISK, "pause": 0.6, "pauses": (1.2, 1.9), "gaps": (0.15, 0.3)},
    "group_pauses": {**ONE_RISK, "callers": 3, "season_callers": 3, "target": 2.0, "gaps": (0.3,),
                     "engine_pause": 0.8, "pauses": (1.7, 1.9)},
    "slow_callers": {**ONE_RISK, "slow_reader": 0.5},
    "waiting_prompts": {**ONE_RISK, "callers": 56, "target": 7.0, "gaps": (0.3,), "slots": 3,
                        "stop": 0.9},
}


class PlannedNode(Node):
    """Reached directly: a proxy would hide what the kernel does with unread data."""

    stopped_at = None

    async def prepare(self, store):
        await super().prepare(store)
        await self.caller_wire.close()

    async def start(self):
        self.stopped_at = None
        await super().start()

    def offered(self):
        return self.stopped_at is None or time.monotonic() - self.stopped_at < CACHE_S


class PlannedUpstream(Upstream):
    """Sound at all times. How it answers a request is drawn from the request's id."""

    leaving = False
    active = 0
    paused_until = 0.0

    async def read(self, reader):
        if self.rng.random() < self.world.mix["slow_upload"]:
            return await read_message(reader, pause=self.rng.uniform(*self.world.mix["upload_pauses"]))
        return await read_message(reader)

    async def answer(self, line, headers, body, writer):
        self.active += 1
        try:
            await self.work(writer, 0)
            await super().answer(line, headers, body, writer)
            if self.leaving:
                await writer.drain()
                writer.close()
        finally:
            self.active -= 1

    async def work(self, writer, seconds):
        end = time.monotonic() + seconds
        while (left := max(end, self.paused_until) - time.monotonic()) > 0:
            await super().work(writer, min(left, 0.2))

    def notices(self):
        return [("Server-Leaving", "1"), ("Connection", "close")] if self.leaving else []

    async def respond(self, target, headers, echo, writer, run):
        request = headers["x-attempt-id"]
        rng = seeded(self.world.options.seed, f"{request} {len(self.world.runs[request])}")
        echo = echo + self.notices()
        if rng.random() < self.world.mix["gateway_timeout"]:
            await self.work(writer, 1.1)
            run.sound = False
            writer.write(message(504, b"late", echo))
        elif self.service == "llm":
            await self.paced_stream(rng, headers, target, echo, writer)
        else:
            if rng.random() < self.world.mix["pause"] / 4:
                await self.work(writer, rng.uniform(0.5, 1.2))
            await self.work(writer, rng.uniform(0.01, 0.05))
            writer.write(message(200, f"{request} {target}".encode(), echo))

    async def paced_stream(self, rng, headers, target, echo, writer):
        """A stream with at most one pause; some have no length and end with their connection."""
        request = headers["x-attempt-id"]
        events = self.world.events
        gap = rng.choice(self.world.mix["gaps"])
        pause_at = rng.randrange(1, events + 1) if rng.random() < self.world.mix["pause"] else 0
        pause = rng.uniform(*self.world.mix["pauses"])
        chunked = self.leaving or rng.random() < 0.9
        framing = "Transfer-Encoding: chunked" if chunked else "Connection: close"
        head = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in echo] + [framing]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id", "0")) + 1, events + 1):
            await self.work(writer, pause if number == pause_at else gap)
            event = self.world.event(request, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if chunked else event)
            await writer.drain()
        if chunked:
            writer.write(b"0\r\n\r\n")
        else:
            await writer.drain()
            writer.close()


class PlannedWorld(World):
    node_type, upstream_type = PlannedNode, PlannedUpstream

    def __init__(self, options, folder):
        super().__init__(options, folder)
        self.mix = {**MIX, **SERIES[options.planned]}
        self.padding = {}

    def configure(self, target_s=0.25, slots=16):
        super().configure(self.mix["target"], self.mix["slots"])

    def event(self, request, number):
        padding = "x" * self.padding.get(request, 0)
        return f"id: {number}\ndata: {request} {number}{padding}\n\n".encode()

    async def run(self):
        await self.open()
        count = int(self.mix["callers"] + self.mix["season_callers"])
        callers = [asyncio.create_task(self.caller(i)) for i in range(count)]
        work = [asyncio.create_task(self.trouble(i, self.options.seconds)) for i in range(3)]
        await asyncio.gather(*work)
        self.calm_from = time.monotonic()
        self.stopped = True
        await asyncio.gather(*callers)
        self.outcomes.append((self.calm_from + 1, "end", 200))
        await self.finish()

    # Callers.
    async def caller(self, index):
        rng = seeded(self.options.seed, f"caller {index}")
        kind = ["order", "lookup", "chat", "chat", "chat", "chat", "chat"][index % 7]
        if index >= self.mix["callers"]:
            kind = "season"
        loyal = index % 3 == 0              # uses its connection until the process is gone
        buffer = self.mix["reader_buffer"]
        connection, node, count = None, None, 0
        while not self.stopped:
            count += 1
            request = f"{kind}-{index}-{count}"
            slow = kind == "chat" and rng.random() < self.mix["slow_reader"]
            if connection and (slow or (not loyal and (rng.random() < 0.3 or not node.offered()))):
                connection.close()
                connection = None
            began = time.monotonic()
            answer = ("no connection", b"", {}, True)
            try:
                if connection is None:
                    offered = [n for n in self.nodes if n.offered()] or self.nodes
                    node = rng.choice(self.nodes if loyal and rng.random() < 0.5 else offered)
                    connection = await Connection(node.name).open(node.callers, buffer if slow else None)
                answer = await asyncio.wait_for(
                    self.request(rng, connection, kind, request, slow),
                    1.5 * TIMEOUT_S[kind] + ANSWER_SLACK_S + 20.0 * slow)
                self.losses.requests.append((node.name, time.monotonic()))
            except asyncio.TimeoutError:
                answer = ("slow" if slow else "late", b"", {}, True)
            except GaveUp:
                answer = ("gave up", b"", {}, True)
            except (ConnectionEnded, OSError) as error:
                if isinstance(error, ConnectionEnded):
                    self.note_ending(connection, kind, request, error)
                    answer = ("broken", b"", {}, True)
            if connection and (slow or answer[3]):
                connection.close()
                connection = None
            self.judge(kind, request, "k0", began, answer)
            self.outcomes.append((began, kind + " slow" * slow, answer[0]))
            await asyncio.sleep(rng.uniform(0.05, 0.25))
        if connection:
            connection.close()

    async def request(self, rng, connection, kind, request, slow):
        body = b"body"
        if rng.random() < self.mix["large_body"]:
            body = os.urandom(1) * rng.randrange(100_000, 1_000_000)
        late = rng.random() < self.mix["late_body"]
        pause = rng.uniform(0.2, min(3.0, TIMEOUT_S[kind] / 2)) if late else 0.0
        tokens = {"chat": "2000,500", "season": "480000,500"}.get(kind, "1,1")
        if kind == "chat" and rng.random() < self.mix["large_prompt"]:
            tokens = "100000,500"
        if slow:
            self.padding[request] = rng.randrange(20_000, 200_000)
        pauses = [(300_000 * n, rng.uniform(*self.mix["reader_pauses"])) for n in range(3 * slow)]
        await connection.send(self.head(kind, request, "k0", tokens, len(body)), body, pause)
        # Callers give up a stream after two seconds or four targets of silence.
        patient = slow or kind not in ("chat", "season")
        patience = None if patient else max(2.0, 4 * self.mix["target"])
        status, headers, answer = await connection.receive(patience, pauses)
        return status, answer, headers, headers.get("connection") == "close"

    # Planned work, in overlapping series.
    async def trouble(self, index, seconds):
        rng = seeded(self.options.seed, f"planned {index}")
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            kind = rng.choice([self.reload, self.reload, self.change_series, self.leave])
            if rng.random() < self.mix["stop"]:
                kind = self.stop
            if rng.random() < self.mix["freeze"]:
                kind = self.freeze
            if rng.random() < self.mix["engine_pause"]:
                kind = self.pause_engine
            await kind(rng)
            await asyncio.sleep(rng.uniform(0.1, 0.8))

    async def stop(self, rng):
        node = rng.choice(self.nodes)
        if node.stopped_at or sum(n.stopped_at is not None for n in self.nodes) * 2 >= len(self.nodes):
            return
        node.stopped_at = time.monotonic()
        self.losses.term(node.name, node.stopped_at)
        ended = asyncio.create_task(node.end(signal.SIGTERM, 9.0))
        for number in rng.sample([signal.SIGTERM, signal.SIGHUP, signal.SIGHUP], rng.randrange(3)):
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            node.signal(number)
        if not await ended:
            self.finding(f"{node.name} was still there 9 s after SIGTERM")
        self.losses.exits.setdefault(node.name, []).append(time.monotonic())
        await node.start()

    async def reload(self, rng):
        node = rng.choice(self.nodes)
        for _ in range(rng.randrange(1, 4)):
            self.losses.hup(node.name, time.monotonic())
            node.signal(signal.SIGHUP)
            await asyncio.sleep(rng.uniform(0.0, 0.3))

    async def change_series(self, rng):
        for _ in range(rng.randrange(1, 7)):
            self.version += rng.randrange(1, 4)
            self.configure()
            await asyncio.sleep(rng.uniform(0.02, 0.5))

    async def leave(self, rng):
        old = rng.choice([u for u in self.upstreams if u.name not in self.gone])
        await self.add_upstream(old.service)
        old.leaving = True
        if rng.random() < 0.7:
            self.store.put(f"servers/{old.name}", old.entry(old.wire.port, "draining"))
            self.gone[old.name] = time.monotonic()
            await asyncio.sleep(rng.uniform(0.2, 1.0))
        self.store.remove(f"servers/{old.name}")
        self.gone.setdefault(old.name, time.monotonic())
        self.departures.append(asyncio.create_task(self.depart(old, rng.uniform(*LEAVE_S))))

    async def pause_engine(self, rng):
        """A pause of a whole engine: its streams, new requests and orders."""
        engine = rng.choice([u for u in self.upstreams if u.service == "llm" and not u.leaving])
        length = rng.uniform(*self.mix["pauses"])
        engine.paused_until = time.monotonic() + length
        await asyncio.sleep(length)

    async def depart(self, upstream, delay):
        await asyncio.sleep(delay)
        while upstream.active:
            await asyncio.sleep(0.1)
        await upstream.close()

    async def freeze(self, rng):
        node = rng.choice(self.nodes)
        fault = self.losses.fault(node.name, time.monotonic())
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.1, 1.5))
        node.signal(signal.SIGCONT)
        fault[2] = time.monotonic()
