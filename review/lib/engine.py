"""A model engine as the pages describe it: streams, reservations (`/order`) and helpers (`X-Helpers`).

The protocol between engines is their own. Here the engine that receives a request looks the helpers up
by address, asks each for its part and answers 503 if a helper is gone or lacks the ticket.
"""

import asyncio
import json
import time

from harness import Service
from stand_ins import message

PROFILE = {"slots": 16, "kv_capacity_tokens": 450000, "stride": 46, "step_ms": 0.925,
           "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0,
           "pairs_per_m": 0.0917, "chunk": 2048, "usual": {"prompt": 13199, "answer": 1541},
           "hop_ms": 0.1}


class Engine(Service):
    by_port = {}

    def __init__(self, name, service, record, reading_s=1.0, events=6, gap_s=0.1):
        super().__init__(name, service, record)
        self.reading_s, self.events, self.gap_s = reading_s, events, gap_s
        self.tickets = {}        # id: [tokens, end of the lease]
        self.parts = []          # requests of which this engine has read a part as a helper
        self.memory = []         # (time, tokens set aside)

    async def open(self, port=0):
        await super().open(port)
        self.by_port[self.port] = self
        return self

    async def crash(self):
        self.by_port.pop(self.port, None)
        self.reports = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def expire(self):
        now = time.monotonic()
        for ticket in [t for t, (_, end) in self.tickets.items() if end < now]:
            del self.tickets[ticket]

    def set_aside(self):
        self.expire()
        return sum(tokens for tokens, _ in self.tickets.values())

    async def answer(self, line, headers, body, writer):
        if line.split(" ")[1] != "/order":
            await super().answer(line, headers, body, writer)
            return
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(message(421, headers=[("X-Instance-Id", self.name)]))
            return
        order = json.loads(body)
        if order["id"] not in self.tickets:
            self.record.write(f"{self.name} ({self.service}) gets order {order['op']}, X-Expect-Instance: "
                              f"{headers.get('x-expect-instance', 'none')}")
        await self.order(order, writer)

    async def order(self, order, writer):
        free = PROFILE["kv_capacity_tokens"] - self.set_aside()
        known = order["id"] in self.tickets
        if order["op"] == "reserve" and not known and order["tokens"] > free:
            self.record.write(f"{self.name} ({self.service}) has no memory for {order['id']}")
            writer.write(message(409, b'{"free":%d}' % free))
            return
        if order["op"] == "reserve":
            if not known:
                self.record.write(f"{self.name} ({self.service}) sets aside {order['tokens']} tokens "
                                  f"for {order['id']}")
            self.tickets[order["id"]] = (order["tokens"], time.monotonic() + order["hold_ms"] / 1000)
        elif self.tickets.pop(order["id"], None):
            self.record.write(f"{self.name} ({self.service}) releases {order['id']}")
        writer.write(message(200, b'{"free":%d}' % (PROFILE["kv_capacity_tokens"] - self.set_aside())))

    def helpers(self, headers):
        """Address and ticket of each entry of the request's `X-Helpers`."""
        entries = [e.strip().partition("/") for e in headers.get("x-helpers", "").split(",") if e]
        return [(int(address.rpartition(":")[2]), ticket) for address, _, ticket in entries]

    def take_part(self, request, ticket, leader):
        self.expire()
        if ticket and ticket not in self.tickets:
            return False
        self.parts.append((request, leader.service))
        self.record.write(f"{self.name} ({self.service}) reads a part of {request} for {leader.name} "
                          f"({leader.service})")
        return True

    async def respond(self, method, target, headers, body, echo, writer):
        request = headers["x-attempt-id"]
        for port, ticket in self.helpers(headers):
            helper = self.by_port.get(port)
            if helper is None or (helper is not self and not helper.take_part(request, ticket, self)):
                self.record.write(f"{self.name} refuses {request}: no helper at port {port}")
                writer.write(message(503, headers=echo + [("X-Not-Executed", "1"),
                                                          ("At-Server", f"127.0.0.1:{port}")]))
                return
        self.runs.append((request, time.monotonic()))
        self.record.write(f"{self.name} ({self.service}) runs {request}")
        await self.stream(request, headers, echo, writer)

    async def stream(self, request, headers, echo, writer):
        await asyncio.sleep(self.reading_s)
        rows = echo + [("X-Response-Seal", f"{self.name}.{request}"),
                       ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in rows) + "\r\n").encode())
        for number in range(int(headers.get("last-event-id", "0")) + 1, self.events + 1):
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
