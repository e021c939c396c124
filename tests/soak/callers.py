"""The callers' side of a connection: sends requests and tells how an answer ended."""

import asyncio
import socket
import time


class ConnectionEnded(Exception):
    """The connection ended before the answer was complete."""

    def __init__(self, how, received):
        super().__init__(how)
        self.how, self.received = how, received


class GaveUp(Exception):
    """The caller waited as long as it is willing to."""


class Connection:
    """A caller's connection; `receive_buffer` limits what the system reads ahead."""

    def __init__(self, host):
        self.host, self.served = host, 0

    async def open(self, port, receive_buffer=None):
        sock = socket.socket()
        sock.setblocking(False)
        limit = 1 << 16
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            limit = receive_buffer
        try:
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
            self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=limit)
        except BaseException:
            sock.close()
            raise
        return self

    def close(self):
        self.writer.transport.abort()

    async def send(self, head, body, body_pause=0.0):
        """Sends a request, its body in two parts if there is a pause. Errors show when reading."""
        self.received = 0
        self.began = time.monotonic()
        try:
            self.writer.write(head)
            if body_pause:
                half = len(body) // 2
                self.writer.write(body[:half])
                await self.writer.drain()
                await asyncio.sleep(body_pause)
                body = body[half:]
            self.writer.write(body)
            await self.writer.drain()
        except ConnectionError:
            pass
        self.sent = time.monotonic()

    async def receive(self, patience=None, pauses=()):
        """Returns status, headers and body. `pauses`: (bytes received, seconds to wait then)."""
        pauses = list(pauses)
        try:
            head = await self.part(self.reader.readuntil(b"\r\n\r\n"), patience)
            line, *rows = head.decode("latin-1").split("\r\n")
            headers = {}
            for row in rows[:-2]:
                name, _, value = row.partition(":")
                headers[name.strip().lower()] = value.strip()
            if headers.get("transfer-encoding") != "chunked":
                body = await self.body(int(headers["content-length"]), patience, pauses)
            else:
                body = b""
                while True:
                    await self.pause(pauses)
                    size = int(await self.part(self.reader.readuntil(b"\r\n"), patience), 16)
                    body += await self.body(size, patience, pauses)
                    await self.part(self.reader.readexactly(2), patience)
                    if size == 0:
                        break
        except ConnectionError as error:
            raise ConnectionEnded("reset", self.received) from error
        except asyncio.IncompleteReadError as error:
            received = self.received + len(error.partial)
            raise ConnectionEnded("end of stream", received) from error
        except asyncio.TimeoutError as error:
            raise GaveUp from error
        self.served += 1
        return int(line.split(" ")[1]), headers, body

    async def body(self, size, patience, pauses):
        body = b""
        while len(body) < size:
            await self.pause(pauses)
            count = min(size - len(body), 1 << 16)
            body += await self.part(self.reader.readexactly(count), patience)
        return body

    async def pause(self, pauses):
        if pauses and self.received >= pauses[0][0]:
            await asyncio.sleep(pauses.pop(0)[1])

    async def part(self, reading, patience):
        part = await asyncio.wait_for(reading, patience)
        self.received += len(part)
        return part
