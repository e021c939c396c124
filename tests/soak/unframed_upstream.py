"""An engine or a service as a process of its own, whose answers end with their connections.

    unframed_upstream.py NAME SERVICE EVENTS

Prints its port, then the id of each request that arrives.
"""

import asyncio
import random
import sys

from stand_ins import HttpServer, message

GAP_S = 0.03              # between two events of a stream
PAUSE_S = (0.02, 0.3)     # between the two halves of a plain answer


class UnframedUpstream(HttpServer):
    def __init__(self, name, service, events):
        self.name, self.service, self.events = name, service, events

    async def answer(self, line, headers, _body, writer):
        target = line.split(" ")[1]
        if target == "/order":
            writer.write(message(200, b'{"free":1}'))
            return
        request = headers.get("x-attempt-id", "")
        print(request, flush=True)
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\n"
                     f"X-Response-Seal: {self.name}.{request}\r\n\r\n".encode())
        if self.service == "llm":
            first = int(headers.get("last-event-id", "0")) + 1
            for number in range(first, self.events + 1):
                await asyncio.sleep(GAP_S)
                writer.write(f"id: {number}\ndata: {request} {number}\n\n".encode())
        else:
            writer.write(f"{request} ".encode())
            await asyncio.sleep(random.uniform(*PAUSE_S))
            writer.write(target.encode())
        await writer.drain()
        raise ConnectionError


async def main():
    name, service, events = sys.argv[1:]
    upstream = await UnframedUpstream(name, service, int(events)).open()
    print(upstream.port, flush=True)
    await upstream.server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
