"""Proxies between the programs, by which some can be cut off from the rest."""

from __future__ import annotations

import asyncio
import contextlib
import re

NAME = re.compile(rb'127\.\d+\.\d+\.\d+:\d+')


class Cut:
    """While it is on, nothing passes between the addresses in `inside` and all others.

    Programs reach each other at the addresses of proxies, and the one that opens a
    connection names itself in the handshake.
    """

    def __init__(self) -> None:
        self.inside: set[str] = set()
        self._is_open = asyncio.Event()
        self._is_open.set()

    def begin(self, inside: set[str]) -> None:
        self.inside = inside
        self._is_open.clear()

    def end(self) -> None:
        self._is_open.set()

    async def wait(self, sender: str, target: str) -> None:
        if (sender in self.inside) != (target in self.inside):
            await self._is_open.wait()


async def start_proxy(
    cut: Cut, address: tuple[str, int], target: tuple[str, int]
) -> asyncio.AbstractServer:
    """Forward connections from `address` to `target`; hold them while they are cut."""
    name = f'{address[0]}:{address[1]}'

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sender = ''

        async def copy(
            source: asyncio.StreamReader, sink: asyncio.StreamWriter, *, names: bool
        ) -> None:
            nonlocal sender
            with contextlib.suppress(OSError):
                while data := await source.read(65536):
                    found = NAME.search(data) if names and not sender else None
                    if found:
                        sender = found.group().decode()
                    if sender:
                        await cut.wait(sender, name)
                    sink.write(data)
                    await sink.drain()
                if sender:
                    await cut.wait(sender, name)
            sink.close()

        try:
            other, far = await asyncio.open_connection(*target)
        except OSError:
            writer.transport.abort()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                copy(reader, far, names=True), copy(other, writer, names=False)
            )

    return await asyncio.start_server(serve, *address)
