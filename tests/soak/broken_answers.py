"""Soak of upstreams whose answers are broken: in their status, in the name of a field, or cut by a reset.

    broken_answers.py --binary build/main/fuchsiaquay --series SERIES [--seed 1] [--seconds 10]

Checks that no caller gets such an answer, or a part of it, as an answer, that answers which end
properly arrive whole, and that sound answers arrive afterwards. Exit code 0: all held.
"""

import asyncio
import re
import sys
import time
import urllib.request

from engine_ends import run_series
from soak import World
from stand_ins import Upstream, abort_with_reset, read_message, seeded

UPLOAD_BYTES = 12_000_000     # more than the kernel buffers of the connection to an upstream
RESET_DELAYS_S = (0.0, 0.0, 0.001, 0.005, 0.02)
RECOVERY_S = 10.0             # from the last broken answer to a sound one

HEADS = {
    "status": ["000", "001", "099", "600", "999"],
    "field": ["X A: b", "X-A : b", "X-A\t: b", "X-\x01A: b", "X-\x7fA: b", "X-\0A: b", "X-\xffA: b",
              "Content-Length : 1", "Transfer-Encoding : chunked"],
}
# `broken`: no caller may get 200; `fault`: the label of the counter that tells why; `upload`: the
# request has a body that stays partly unread.
SERIES = {
    "status": {"broken": True, "fault": "invalid_status"},
    "field": {"broken": True, "fault": "malformed"},
    "upload_reset": {"broken": True, "fault": "incomplete", "upload": True},
    "upload_end": {"broken": False, "upload": True},
}


class BrokenUpstream(Upstream):
    async def read(self, reader):
        """Leaves long bodies unread; the answer comes while they are uploaded."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        if f"Content-Length: {UPLOAD_BYTES}".encode() not in head:
            body = asyncio.StreamReader()
            body.feed_data(head + await self.short_body(head, reader))
            return await read_message(body)
        only_head = asyncio.StreamReader()
        only_head.feed_data(head.replace(f"{UPLOAD_BYTES}".encode(), b"0"))
        return await read_message(only_head)

    async def short_body(self, head, reader):
        for line in head.decode("latin-1").lower().split("\r\n"):
            if line.startswith("content-length:"):
                return await reader.readexactly(int(line.split(":")[1]))
        return b""

    async def respond(self, target, headers, echo, writer, run):
        kind, request = target.split("/")[1:3]
        if "-broken-" not in request:
            await super().respond(target, headers, echo, writer, run)
            return
        parts = [f"{request} ".encode(), target.encode()]
        if kind == "chat":
            parts = [self.world.event(request, n) for n in range(1, self.world.events + 1)]
        name = self.world.options.series
        if name in HEADS:
            texts = HEADS[name]
            text = texts[self.world.chosen(request) % len(texts)]
            status, line = (text, "X-A: b") if name == "status" else ("200", text)
            writer.write(self.head(status, echo + [tuple(line.split(": ")),
                                                   ("Content-Length", len(b"".join(parts)))])
                         + b"".join(parts))
            return
        await self.answer_upload(writer, self.head("200", echo), parts, request)

    def head(self, status, rows):
        lines = "".join(f"{name}: {value}\r\n" for name, value in rows)
        return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode("latin-1")

    async def answer_upload(self, writer, head, parts, request):
        whole = not self.world.series["broken"]
        writer.write(head + b"".join(parts if whole else parts[:len(parts) // 2]))
        if whole:
            writer.write_eof()
            await asyncio.sleep(0.5)
            writer.transport.abort()
        else:
            await asyncio.sleep(RESET_DELAYS_S[self.world.chosen(request) % len(RESET_DELAYS_S)])
            abort_with_reset(writer)
        raise ConnectionError


class BrokenAnswers(World):
    upstream_type = BrokenUpstream
    max_body_bytes = 16_000_000
    all_series = SERIES

    def __init__(self, options, folder):
        super().__init__(options, folder)
        self.series, self.statuses = SERIES[options.series], {}

    def chosen(self, request):
        return int(request.rsplit("-", 1)[1])

    async def add_upstream(self, service):
        await super().add_upstream(service)
        # Directly, as the proxy would change the moment at which a reset arrives.
        upstream = self.upstreams[-1]
        self.store.put(f"servers/{upstream.name}", upstream.entry(upstream.port))

    async def run(self):
        await self.open()
        end = time.monotonic() + self.options.seconds
        await asyncio.gather(*(self.caller(kind, end) for kind in ("lookup", "order", "chat")))
        await asyncio.gather(*(self.check_recovery(kind) for kind in ("lookup", "order", "chat")))
        await self.finish()

    async def caller(self, kind, end):
        rng, count = seeded(self.options.seed, kind), 0
        while time.monotonic() < end:
            count += 1
            status = await self.ask_once(rng, kind, f"{kind}-broken-{count}")
            self.statuses.setdefault(kind, []).append(status)
            await asyncio.sleep(rng.uniform(0.05, 0.15))

    async def check_recovery(self, kind):
        rng, count, end = seeded(self.options.seed, f"sound {kind}"), 0, time.monotonic() + RECOVERY_S
        while time.monotonic() < end:
            count += 1
            if await self.ask_once(rng, kind, f"{kind}-sound-{count}") == 200:
                return
            await asyncio.sleep(0.2)
        self.finding(f"no sound answer to {kind} within {RECOVERY_S:.0f} s")

    async def ask_once(self, rng, kind, request):
        long = self.series.get("upload") and "-broken-" in request
        body = b"b" * (UPLOAD_BYTES if long else 4)
        status = await self.ask_apart(rng.choice(self.nodes), kind, request, "1,1", body)
        ran = bool(self.runs.get(request))
        if isinstance(status, int) and not 200 <= status <= 599:
            self.finding(f"{request} was answered with the status {status}")
        elif "-broken-" in request and ran and self.series["broken"] and status == 200:
            self.finding(f"{request} got a broken answer")
        elif "-broken-" in request and ran and not self.series["broken"] and status != 200:
            self.finding(f"{request} got {status} instead of a whole answer")
        return status

    def rejected_answers(self, node):
        """The counter of answers that the node did not accept, by fault."""
        with urllib.request.urlopen(f"http://127.0.0.1:{node.metrics}/metrics", timeout=2) as page:
            rows = re.findall(r'upstream_answers_rejected_total{fault="(\w+)"} (\d+)', page.read().decode())
        return {fault: int(count) for fault, count in rows}

    async def finish(self):
        for node in self.nodes:
            counted, fault = await asyncio.to_thread(self.rejected_answers, node), self.series.get("fault")
            if set(counted) != ({fault} if fault else set()):
                self.finding(f"{node.name} counted {counted}, not {fault}")
            if node.process.returncode is not None:
                self.finding(f"{node.name} ended with {node.process.returncode}")
        await asyncio.gather(*(node.end(9, 2.0) for node in self.nodes))
        counts = {kind: {str(status): statuses.count(status) for status in set(statuses)}
                  for kind, statuses in sorted(self.statuses.items())}
        self.summary = f"answers to requests that met broken ones {counts}"


if __name__ == "__main__":
    sys.exit(run_series(BrokenAnswers))
