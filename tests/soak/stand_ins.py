"""Stand-ins of the users' platform for the soak test: store, engines, services, and a faulty proxy."""

import asyncio
import base64
import json
import random
import socket
import struct
import time
from urllib.parse import parse_qs, urlsplit


LONG_BODY = 65536


async def read_message(reader, pause=0.0):
    """Reads one HTTP message: start line, lower-case headers and body; None at the end of the stream.
    Waits for `pause` seconds before a long body and notes it in the headers."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        size = int(headers["content-length"])
        if pause and size > LONG_BODY:
            headers["paused"] = pause
            await asyncio.sleep(pause)
        body = await reader.readexactly(size)
    return lines[0], headers, body


def message(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves `answer(line, headers, body, writer)` on a separate loopback port."""

    async def open(self, port=0):
        self.connections = {}
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.connections[writer] = reader
        try:
            while not writer.is_closing():
                request = await self.read(reader)
                if request is None:
                    break
                await self.answer(*request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    async def read(self, reader):
        return await read_message(reader)

    async def close(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


class Store(HttpServer):
    """The key-value service with revisions, leases and long polls; `mode` selects its fault."""

    def __init__(self, rng):
        self.rng = rng
        self.mode = "well"
        self.era = 1
        self.revision = 1
        self.items = {}
        self.history = []
        self.dropped = 0
        self.leases = {}
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        text = base64.b64encode(value.encode()).decode()
        item = {"key": key, "value": text, "revision": self.revision, "lease": lease}
        self.items[key] = item
        self.note(item)

    def put_again(self, key, item):
        """Writes a value that was lost once more, at a revision of now."""
        self.put(key, base64.b64decode(item["value"]).decode(), item["lease"])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        self.dropped = self.revision

    def copy(self):
        return self.revision, dict(self.items), list(self.history), dict(self.leases), self.dropped

    def restore(self, copy):
        """Continues from an earlier `copy`: what came after it is gone, and its revisions are given out again."""
        self.revision, items, history, leases, self.dropped = copy
        self.items, self.history, self.leases = dict(items), list(history), dict(leases)
        self.era += 1

    def expire(self):
        now = time.monotonic()
        for lease in [l for l, (_, end) in self.leases.items() if end < now]:
            del self.leases[lease]
            for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                self.remove(key)

    async def answer(self, line, _headers, body, writer):
        method, target, _ = line.split(" ")
        path = urlsplit(target).path
        query = {k: v[0] for k, v in parse_qs(urlsplit(target).query).items()}
        if self.mode == "down":
            writer.transport.abort()
            raise ConnectionError
        if self.mode == "silent":
            await asyncio.sleep(30)
            raise ConnectionError
        if self.mode == "busy":
            writer.write(message(503, headers=[("Store-Era", self.era)]))
            return
        await asyncio.sleep(0.4 if self.mode == "slow" else 0.002)
        self.expire()
        status, reply = await self.call(method, path, query, json.loads(body or b"{}"))
        if self.mode == "lost" and method == "POST" and self.rng.random() < 0.4:
            await asyncio.sleep(30)
        writer.write(message(status, json.dumps(reply).encode(), [("Store-Era", self.era)]))

    async def call(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, store_revision=self.revision)) if item else (404, {})
        if path == "/kv-range":
            items = [i for k, i in sorted(self.items.items())
                     if k.startswith(query["prefix"]) and k > query.get("after", "")]
            return 200, {"items": items, "has_more": False, "store_revision": self.revision}
        if path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
        if path == "/kv-txn":
            for row in body["expected"]:
                if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                    return 412, {"items": []}
            for entry in body["puts"]:
                value = base64.b64decode(entry["value"]).decode()
                self.put(entry["key"], value, entry.get("lease", 0))
            for key in body["remove"]:
                self.remove(key)
            return 200, {"revision": self.revision}
        if path == "/kv-lease":
            lease = self.rng.randrange(1, 1 << 40)
            self.leases[lease] = (body["ttl_ms"], time.monotonic() + body["ttl_ms"] / 1000)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl, _ = self.leases[lease]
        self.leases[lease] = (ttl, 0 if method == "DELETE" else time.monotonic() + ttl / 1000)
        return 200, {"ttl_ms": ttl}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if after < self.dropped or after > self.revision:
                return 410, {}
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Upstream(HttpServer):
    """A model engine or a plain service. Records every run; `mode` selects its fault."""

    def __init__(self, rng, name, service, world):
        self.rng, self.name, self.service, self.world = rng, name, service, world
        self.mode = "well"
        self.reserved = {}
        self.refusals = {}

    async def answer(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        if target == "/order":
            self.order(json.loads(body), writer)
            return
        request = headers.get("x-attempt-id", "")
        echo = [("X-Attempt-Id", request)]
        if headers.get("x-expect-instance") != self.name:
            writer.write(message(421, headers=echo + [("X-Instance-Id", self.name)]))
            return
        if self.mode == "full" and self.rng.random() < 0.7:
            writer.write(message(503, headers=echo + [("X-Not-Executed", "1")]))
            return
        if self.mode.startswith("repeat") and not self.repeat_refusal(request, echo, writer):
            return
        run = self.world.arrived(request, self, target, headers)
        try:
            if self.mode == "mute" and self.rng.random() < 0.5:
                run.sound = False
                await self.work(writer, 30)
            echo.append(("X-Response-Seal", f"{self.name}.{request}"))
            await self.respond(target, headers, echo, writer, run)
            run.complete = True
        finally:
            run.ended = time.monotonic()

    async def respond(self, target, headers, echo, writer, run):
        if self.service == "llm":
            await self.stream(headers, echo, writer, run)
        else:
            await self.plain(target, echo, writer, run)

    async def work(self, writer, seconds):
        """Lets time pass; raises when the caller closes its connection meanwhile."""
        reader, end = self.connections[writer], time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            if reader.at_eof() or reader.exception():
                raise ConnectionError
            await asyncio.sleep(min(left, 0.05))

    async def plain(self, target, echo, writer, run):
        request = echo[0][1]
        await self.work(writer, self.rng.uniform(0.01, 0.05))
        if self.mode == "lose" and self.rng.random() < 0.5:
            self.break_off(writer, run)
        answer = message(200, f"{request} {target}".encode(), echo)
        writer.write(answer)
        if self.mode == "extra" and self.rng.random() < 0.5:
            writer.write(answer)

    def repeat_refusal(self, request, echo, writer):
        """Refuses the request, or writes an earlier refusal once more; returns whether the request runs.
        `repeat` keeps the id of the refused request, `repeat_unnamed` drops it."""
        if not self.refusals or self.rng.random() < 0.4:
            self.refusals[request] = message(503, headers=echo + [("X-Not-Executed", "1")])
            writer.write(self.refusals[request])
            return False
        if self.rng.random() < 0.7:
            stale = self.refusals.get(request) or self.rng.choice(list(self.refusals.values()))
            if self.mode == "repeat_unnamed":
                stale = message(503, headers=[("X-Not-Executed", "1")])
            writer.write(stale)
        return True

    def break_off(self, writer, run):
        run.sound = False
        writer.transport.abort()
        raise ConnectionError

    async def stream(self, headers, echo, writer, run):
        request = headers["x-attempt-id"]
        head = ["HTTP/1.1 200 OK"] + [f"{n}: {v}" for n, v in echo]
        writer.write(("\r\n".join(head) + "\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id", "0")) + 1, self.world.events + 1):
            await self.work(writer, 0.03)
            event = self.world.event(request, number)
            if self.mode == "lose" and self.rng.random() < 0.1:
                writer.write(b"%x\r\n" % len(event) + event[:9])
                await writer.drain()
                self.break_off(writer, run)
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def order(self, body, writer):
        now = time.monotonic()
        if body["op"] == "reserve":
            self.reserved[body["id"]] = now + body["hold_ms"] / 1000
        else:
            self.reserved.pop(body["id"], None)
        if not (self.mode == "mute" and self.rng.random() < 0.5):
            writer.write(message(200, b'{"free":1}'))

    def entry(self, port, state="ready"):
        return json.dumps({"service": self.service, "address": f"127.0.0.1:{port}", "zone": "z1",
                           "version": "v1", "slots": 16, "state": state, "seq": 1})


def abort_with_reset(writer):
    sock = writer.get_extra_info("socket")
    if not writer.is_closing() and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Wire:
    """A loopback proxy. `mode`: well, slow, reset, silent, one_way (answers are swallowed)."""

    def __init__(self, port):
        self.target, self.mode, self.open_pairs = port, "well", set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def close(self):
        self.server.close()

    def reset(self):
        for pair in list(self.open_pairs):
            for writer in pair:
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.open_pairs.add(pair)
        await asyncio.gather(self.pump(reader, far_writer, False),
                             self.pump(far_reader, writer, True))
        self.open_pairs.discard(pair)

    async def pump(self, reader, writer, backward):
        try:
            while data := await reader.read(65536):
                if self.mode == "slow":
                    await asyncio.sleep(0.1)
                while self.mode == "silent" or (self.mode == "one_way" and backward):
                    await asyncio.sleep(0.1)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, RuntimeError):
            abort_with_reset(writer)
        finally:
            if not writer.is_closing():
                writer.close()


def seeded(seed, part):
    return random.Random(f"{seed}/{part}")
