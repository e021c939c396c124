"""Crowds of callers that keep to no limit, against real processes on loopback addresses.

    caller_crowds.py --binary build/main/fuchsiaquay --series SERIES [--seed 1] [--nodes 2]

Each caller sends what its series names, stays open and never comes back. Checks that no host ends,
that the memory of each host, with what it was sent and has not read, stays below `node.memory_mb`,
that it does not use up its descriptors, and that a request inside the limits is answered while the
crowd is connected. Nothing depends on the speed of the machine.
Exit code 0: all held.
"""

import asyncio
import base64
import json
import os
import resource
import sys

from callers import Connection, ConnectionEnded
from endless_answers import SmallNode
from engine_ends import run_series
from soak import World
from stand_ins import Upstream, message

MEMORY_MB = 112           # of the smallest machine
CROWD = 150               # connections to each host
MAX_BODY = 4_194_304
LARGE_CHUNK = 65_536
DESCRIPTORS = 512
FEW_DESCRIPTORS = 128     # fewer than the crowd has connections
SEND_S, HOLD_S = 20.0, 4.0    # for the crowd to send, and to stay before the ordinary request
ANSWER_S = 30.0               # until an ordinary request counts as unanswered
IDLE_TIMEOUT_MS = 60_000      # a host must not need it to be rid of a crowd
REVOCATION_MS = 60_000
LARGE_ANSWER = 6_000_000

SERIES = {
    "large_chunks": {},
    "unknown_key": {"key": "nobody"},
    "never_silent": {},
    "tiny_chunks": {},
    "extensions": {},
    "trailers": {},
    "heads": {},
    "by_length": {},
    "unknown_key_by_length": {"key": "nobody"},
    "whole_bodies": {"target": "lookup", "mute": True},
    "pipelines": {"target": "lookup", "mute": True},
    "unread": {"target": "lookup", "large": True},
    "silent": {"descriptors": FEW_DESCRIPTORS},
}


class CrowdedUpstream(Upstream):
    """Answers ordinary requests; those of a crowd never, or with a large answer."""

    async def respond(self, target, headers, echo, writer, run):
        if "crowd" not in target:
            await super().respond(target, headers, echo, writer, run)
        elif self.world.series.get("large"):
            writer.write(message(200, b"x" * LARGE_ANSWER, echo))
            await writer.drain()
        else:
            await self.work(writer, 60.0)

    async def read(self, reader):
        """Drops the body of a message, of either kind."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        headers = {name.strip().lower(): value.strip() for name, _, value in
                   (line.partition(":") for line in lines[1:-2])}
        left = int(headers.get("content-length", "0"))
        body = await reader.readexactly(left) if left < LARGE_CHUNK else b""
        left -= len(body)
        while left:
            left -= len(await reader.readexactly(min(left, LARGE_CHUNK)))
        return lines[0], headers, body


class CrowdedNode(SmallNode):
    # The stand-in of the store shares a thread with the crowd and may answer late.
    node_settings = f"""memory_mb = {MEMORY_MB}
[configuration]
revocation_ms = {REVOCATION_MS}"""
    descriptors, most_open = DESCRIPTORS, 0

    async def start(self):
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            limit = (self.descriptors, self.descriptors)
            self.process = await asyncio.create_subprocess_exec(
                self.binaries[0], "entry", "--config", self.config, stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, limit))

    def held_mb(self):
        """Memory of the process and of what its callers sent and it has not read."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                rows = dict(line.split(":", 1) for line in status)
            return int(rows["VmRSS"].split()[0]) / 1024 + self.unread_bytes() / 1_048_576
        except (OSError, KeyError):
            return 0.0

    def unread_bytes(self):
        own, established = f":{self.callers:04X}", "01"
        with open("/proc/net/tcp") as sockets:
            rows = [line.split() for line in sockets]
        return sum(int(row[4].split(":")[1], 16) for row in rows
                   if row[1].endswith(own) and row[3] == established)

    def count_descriptors(self):
        try:
            self.most_open = max(self.most_open, len(os.listdir(f"/proc/{self.process.pid}/fd")))
        except OSError:
            pass


class CallerCrowds(World):
    node_type, upstream_type = CrowdedNode, CrowdedUpstream
    all_series = SERIES

    def __init__(self, options, folder):
        super().__init__(options, folder)
        self.series = SERIES[options.series]
        self.served, self.connections, self.peak_mb = 0, [], {}
        if "descriptors" in self.series:
            self.node_type = type("Node", (CrowdedNode,), {"descriptors": FEW_DESCRIPTORS})

    def configure(self, *arguments):
        super().configure(*arguments)
        configuration = json.loads(self.configuration_text())
        configuration["limits"] = {"idle_timeout_ms": IDLE_TIMEOUT_MS, "max_body_bytes": MAX_BODY}
        self.store.put("op/config", json.dumps(configuration))

    def configuration_text(self):
        return base64.b64decode(self.store.items["op/config"]["value"])

    async def run(self):
        await self.open()
        watch = asyncio.create_task(self.watch())
        await self.ordinary("before")
        crowd = [asyncio.create_task(self.member(node, index))
                 for index in range(CROWD) for node in self.nodes]
        await asyncio.wait(crowd, timeout=SEND_S)
        await asyncio.sleep(HOLD_S)
        await self.ordinary("after")
        watch.cancel()
        await self.finish()
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)

    async def watch(self):
        while True:
            for node in self.nodes:
                self.peak_mb[node.name] = max(self.peak_mb.get(node.name, 0), node.peak_mb(),
                                              node.held_mb())
                node.count_descriptors()
            await asyncio.sleep(0.05)

    async def member(self, node, index):
        connection = await Connection(node.name).open(node.callers)
        self.connections.append(connection)
        try:
            for data in self.sends(f"crowd-{node.name}-{index}"):
                connection.writer.write(data)
                await connection.writer.drain()
                if self.options.series == "never_silent" and len(data) < 100:
                    await asyncio.sleep(0.02)
        except (ConnectionError, OSError):
            pass

    def crowd_head(self, request, framing):
        kind, key = self.series.get("target", "lookup"), self.series.get("key", "k0")
        return (f"POST /{kind}/{request} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {request}\r\n"
                f"Authorization: Token {key}\r\nX-Token-Counts: 1,1\r\nX-Deadline-Ms: 60000\r\n"
                f"{framing}").encode()

    def sends(self, request):
        """Yields what one caller sends."""
        series = self.options.series
        chunked = self.crowd_head(request, "Transfer-Encoding: chunked\r\n\r\n")
        block = b"x" * LARGE_CHUNK
        large = b"%x\r\n" % LARGE_CHUNK + block + b"\r\n"
        whole = MAX_BODY // LARGE_CHUNK
        if series in ("large_chunks", "unknown_key"):
            yield from (chunked, *([large] * (whole - 1)),
                        b"%x\r\n" % (LARGE_CHUNK - 1) + block[:-1] + b"\r\n")
        elif series == "never_silent":
            yield from (chunked, *([large] * (whole - 1)), *([b"1\r\nx\r\n"] * (LARGE_CHUNK - 1)))
        elif series == "tiny_chunks":
            yield from (chunked, *([b"1\r\nx\r\n" * 2_000] * 50))
        elif series == "extensions":
            yield from (chunked, *([b"1;" + b"e" * 4_000 + b"\r\nx\r\n"] * 500))
        elif series == "trailers":
            yield from (chunked, large, b"0\r\n", *([b"T: " + b"t" * 4_000 + b"\r\n"] * 500))
        elif series == "heads":
            yield from (self.crowd_head(request, ""), *([b"H: " + b"h" * 4_000 + b"\r\n"] * 500))
        elif series in ("by_length", "unknown_key_by_length"):
            yield self.crowd_head(request, f"Content-Length: {MAX_BODY}\r\n\r\n")
            yield from ([block] * (whole - 1) + [block[:-1]])
        elif series == "whole_bodies":
            yield from (chunked, *([large] * whole), b"0\r\n\r\n")
        elif series == "pipelines":
            one = self.crowd_head(request, "H: " + "h" * 4_000 + "\r\nContent-Length: 4\r\n\r\n")
            yield from [one + b"body"] * 500
        elif series == "unread":
            yield self.crowd_head(request, "Content-Length: 4\r\n\r\n") + b"body"

    async def ordinary(self, when):
        """One request inside the limits to each host, for a service that no crowd uses."""
        for node in self.nodes:
            request, status, connection = f"ordinary-{when}-{node.name}", "broken", None
            try:
                connection = await Connection(request).open(node.callers)
                await connection.send(self.head("chat", request, "k1", "2000,500", 4), b"body")
                status = (await asyncio.wait_for(connection.receive(), ANSWER_S))[0]
            except asyncio.TimeoutError:
                status = "none"
            except (ConnectionEnded, OSError):
                pass
            if connection:
                connection.close()
            self.served += status == 200
            if status != 200:
                self.finding(f"{node.name}: the ordinary request {when} the crowd got {status}")

    async def finish(self):
        for node in self.nodes:
            peak = self.peak_mb.get(node.name, 0)
            if node.process.returncode is not None:
                self.finding(f"{node.name} ended with {node.process.returncode}")
            if peak > MEMORY_MB:
                self.finding(f"{node.name} used {peak:.0f} MB of {MEMORY_MB}")
            if node.most_open >= node.descriptors:
                self.finding(f"{node.name} used all of its {node.descriptors} descriptors")
        await asyncio.gather(*(node.end(9, 2.0) for node in self.nodes))
        for connection in self.connections:
            connection.close()
        peaks = ", ".join(f"{self.peak_mb.get(node.name, 0):.0f}" for node in self.nodes)
        opened = ", ".join(str(node.most_open) for node in self.nodes)
        self.summary = (f"peaks {peaks} MB of {MEMORY_MB}, descriptors {opened} of "
                        f"{self.nodes[0].descriptors}, {self.served} ordinary requests served")


if __name__ == "__main__":
    sys.exit(run_series(CallerCrowds))
