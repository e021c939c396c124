"""Soak of upstreams that send bytes without end, and of callers that do not read their answers.

    endless_answers.py --binary build/main/fuchsiaquay --series SERIES [--seed 1] [--seconds 10]

Checks that the memory of each host stays below what it was given, that no host ends, and that
requests to a sound service are served meanwhile. Exit code 0: all held.
"""

import asyncio
import sys
import time

from callers import Connection, ConnectionEnded
from engine_ends import run_series
from soak import TIMEOUT_S, Node, World
from stand_ins import Upstream, message, seeded

MEMORY_MB = 128
MIN_SERVED = 0.95         # of the requests to the sound service
MAX_READ_BYTES = 1_000_000    # of responses that carry nothing, until the host gives up
FLOODS, SOUND_CALLERS = 48, 4
BLOCK = b"x" * 65536

# `flood`: the kind of request that is answered without end; `sound`: the kind that is served.
# `unread`: the callers of the flood do not read; `whole`: bytes of an answer that ends.
SERIES = {
    "chunks": {"flood": "lookup", "sound": "chat"},
    "until_close": {"flood": "lookup", "sound": "chat"},
    "error_chunks": {"flood": "lookup", "sound": "chat"},
    "one_event": {"flood": "chat", "sound": "lookup"},
    "many_events": {"flood": "chat", "sound": "lookup", "unread": True},
    "interim": {"flood": "lookup", "sound": "chat"},
    "unread": {"flood": "lookup", "sound": "chat", "unread": True, "whole": 6_000_000},
}
PREFIX = {"one_event": b"id: 1\ndata: "}


class EndlessUpstream(Upstream):
    async def respond(self, target, headers, echo, writer, run):
        world = self.world
        if target.split("/")[1] != world.series["flood"]:
            await super().respond(target, headers, echo, writer, run)
        elif "whole" in world.series:
            writer.write(message(200, b"x" * world.series["whole"], echo))
            await writer.drain()
        else:
            await self.flood(writer, echo)

    async def flood(self, writer, echo):
        name = self.world.options.series
        if name == "interim":
            await self.send_without_end(writer, lambda _: b"HTTP/1.1 100 Continue\r\n\r\n" * 2000)
            return
        status = 500 if name == "error_chunks" else 200
        chunked = [] if name == "until_close" else [("Transfer-Encoding", "chunked")]
        rows = "".join(f"{row}: {value}\r\n" for row, value in echo + chunked)
        writer.write(f"HTTP/1.1 {status} X\r\n{rows}\r\n".encode())

        def block(number):
            if name == "until_close":
                return BLOCK
            text = BLOCK if number else PREFIX.get(name, b"") + BLOCK
            if name == "many_events":
                text = b"id: %d\ndata: " % (number + 1) + BLOCK + b"\n\n"
            return b"%x\r\n" % len(text) + text + b"\r\n"
        await self.send_without_end(writer, block)

    async def send_without_end(self, writer, block):
        number = sent = 0
        try:
            while True:
                data = block(number)
                writer.write(data)
                await writer.drain()
                number, sent = number + 1, sent + len(data)
                await asyncio.sleep(0.01)
        finally:
            self.world.sent.append(sent)


class SmallNode(Node):
    node_settings = f"memory_mb = {MEMORY_MB}"

    def peak_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                rows = dict(line.split(":", 1) for line in status)
            return int(rows["VmHWM"].split()[0]) / 1024
        except (OSError, KeyError):
            return 0.0


class EndlessAnswers(World):
    node_type, upstream_type = SmallNode, EndlessUpstream
    all_series = SERIES

    def __init__(self, options, folder):
        super().__init__(options, folder)
        self.series, self.sent, self.statuses = SERIES[options.series], [], {}

    async def run(self):
        await self.open()
        end = time.monotonic() + self.options.seconds
        await asyncio.gather(*(self.caller("flood", i, end) for i in range(FLOODS)),
                             *(self.caller("sound", i, end) for i in range(SOUND_CALLERS)))
        await self.finish()

    async def caller(self, role, index, end):
        rng, count = seeded(self.options.seed, f"{role} {index}"), 0
        while time.monotonic() < end:
            count += 1
            status = await self.ask_once(rng, role, f"{self.series[role]}-{role}-{index}-{count}")
            self.statuses.setdefault(role, []).append(status)
            await asyncio.sleep(rng.uniform(0.05, 0.15))

    async def ask_once(self, rng, role, request):
        kind = self.series[role]
        tokens = "2000,500" if kind == "chat" else "1,1"
        connection, status = None, "broken"
        try:
            connection = await Connection(request).open(rng.choice(self.nodes).callers)
            await connection.send(self.head(kind, request, "k0", tokens, 4), b"body")
            if role == "flood" and self.series.get("unread"):
                await asyncio.sleep(TIMEOUT_S[kind] + 1.0)
                status = "unread"
            else:
                answer = await asyncio.wait_for(connection.receive(), TIMEOUT_S[kind] + 1.5)
                status = answer[0]
        except asyncio.TimeoutError:
            status = "late"
        except (ConnectionEnded, OSError):
            pass
        if connection:
            connection.close()
        return status

    async def finish(self):
        peaks = [node.peak_mb() for node in self.nodes]
        for node, peak in zip(self.nodes, peaks):
            if node.process.returncode is not None:
                self.finding(f"{node.name} ended with {node.process.returncode}")
            elif peak > MEMORY_MB:
                self.finding(f"{node.name} used {peak:.0f} MB of {MEMORY_MB}")
        sound = self.statuses.get("sound", [])
        served = sum(status == 200 for status in sound) / max(1, len(sound))
        if served < MIN_SERVED:
            self.finding(f"{served:.2f} of {len(sound)} sound requests were served")
        if self.options.series == "interim" and max(self.sent, default=0) > MAX_READ_BYTES:
            self.finding(f"{max(self.sent)} bytes of one response that carries nothing were read")
        await asyncio.gather(*(node.end(9, 2.0) for node in self.nodes))
        floods = self.statuses.get("flood", [])
        counts = {status: floods.count(status) for status in set(floods)}
        self.summary = (f"at most {max(peaks):.0f} MB of {MEMORY_MB}, {len(sound)} sound requests, "
                        f"{served:.2f} served, floods {counts}, {sum(self.sent) / 1e6:.0f} MB sent")


if __name__ == "__main__":
    sys.exit(run_series(EndlessAnswers))
