"""Clients that nobody controls: many large bodies, which stop short of their end."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from typing import TYPE_CHECKING

from lab import HOST, KEY, call, request_head

if TYPE_CHECKING:
    from lab import Lab

# `max_body_bytes` of the configuration.
BODY_BYTES = 4 * 1024 * 1024
WRITE_BYTES = 8192
ANSWER_TIMEOUT_S = 5.0


class Crowd:
    """`number` clients send a body each, all together at most `bytes_per_s`.

    With `piece` the bodies come in chunks of so many bytes, else with a length.
    """

    def __init__(
        self,
        *,
        lab: Lab,
        number: int,
        piece: int,
        bytes_per_s: float,
        body: int,
        write_bytes: int = WRITE_BYTES,
    ) -> None:
        self.lab = lab
        self.number = number
        self.counts: Counter = Counter()
        self._pause_s = 0.0
        if piece:
            chunk = b'%x\r\n' % piece + b'y' * piece + b'\r\n'
            times = max(1, write_bytes // len(chunk))
            self._data, self._advance = chunk * times, piece * times
            self._framing = 'Transfer-Encoding: chunked'
        else:
            self._data, self._advance = b'y' * write_bytes, write_bytes
            self._framing = f'Content-Length: {body}'
        self._body = body
        self._pause_s = number * len(self._data) / bytes_per_s
        self._go = asyncio.Event()

    async def gather(self) -> None:
        """Open all connections and send the heads."""
        for number in range(self.number):
            self.lab.spawn(self._client(number))
            if number % 100 == 99:
                await asyncio.sleep(0.01)
        until = time.monotonic() + 10
        while self.counts['opened'] < self.number and time.monotonic() < until:
            await asyncio.sleep(0.05)

    def begin(self) -> None:
        """Let all send."""
        self._go.set()

    async def _client(self, number: int) -> None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(
                *self.lab.callers(), limit=1024
            )
            try:
                await self._send(number, reader, writer)
            finally:
                self.counts['turned away'] += 1
                writer.transport.abort()

    async def _send(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send all but the end of a body, then stay until the entry ends it."""
        head = (
            f'POST /safe/large HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: crowd-{number}\r\nAuthorization: Token {KEY}\r\n'
            f'Deadline-Ms: 3000\r\n{self._framing}\r\n\r\n'
        )
        writer.write(head.encode())
        await writer.drain()
        self.counts['opened'] += 1
        await self._go.wait()
        sent = 0
        while sent + self._advance < self._body:
            writer.write(self._data)
            await writer.drain()
            sent += self._advance
            self.counts['bytes'] += len(self._data)
            await asyncio.sleep(self._pause_s)
        self.counts['stopped short'] += 1
        await reader.read(100)


class OrdinaryCallers:
    """Callers that send a small request each, and what became of them."""

    def __init__(
        self, *, lab: Lab, interval_s: float, path: str = '/safe/small'
    ) -> None:
        self.lab = lab
        self.results: list[tuple[float, float, object]] = []
        self._interval_s = interval_s
        self._path = path
        self._pending: list[asyncio.Task] = []

    async def run(self, length_s: float) -> None:
        """Send for a time, then wait for the last answers."""
        until = time.monotonic() + length_s
        number = 0
        while time.monotonic() < until:
            number += 1
            self._pending.append(asyncio.create_task(self._one(number)))
            await asyncio.sleep(self._interval_s)
        await asyncio.gather(*self._pending)

    async def _one(self, number: int) -> None:
        sent_at = time.monotonic()
        status: object = 'none'
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, _ = await call(
                    self.lab.callers(),
                    'POST',
                    self._path,
                    request_head(f'small-{number}'),
                    b'hello',
                )
        took_s = round(time.monotonic() - sent_at, 3)
        self.results.append((sent_at, took_s, status))
        self.lab.note(
            'ordinary', request=f'small-{number}', status=status, took_s=took_s
        )
