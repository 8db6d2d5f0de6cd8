"""Proxies before the programs, which can cut one machine off from the others."""

from __future__ import annotations

import asyncio
import contextlib

READ_BYTES = 65536


class Partition:
    """Cuts the links of one node, silently, until it is healed.

    A node that opens a link names itself in its first bytes.
    """

    def __init__(self, *, node: str) -> None:
        self.node = node
        self._is_open = asyncio.Event()
        self._is_open.set()

    def cut(self) -> None:
        """Let nothing through between the node and all others."""
        self._is_open.clear()

    def heal(self) -> None:
        """Let everything through."""
        self._is_open.set()

    def concerns(self, target: str, first: bytes) -> bool:
        """Return whether a link is one of the node's."""
        return target == self.node or self.node.encode() in first

    async def passes(self) -> None:
        """Wait while the node is cut off."""
        await self._is_open.wait()


class NodeProxy:
    """Forwards the links to one program from the address that it advertises."""

    def __init__(
        self, *, partition: Partition, advertised: str, ip: str, port: int
    ) -> None:
        self._partition = partition
        self._advertised = advertised
        self._ip = ip
        self._port = port

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, self._advertised, self._port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = f'{self._advertised}:{self._port}'
        there_writer = None
        with contextlib.suppress(OSError):
            there_reader, there_writer = await asyncio.open_connection(
                self._ip, self._port
            )
            # The side that accepts speaks first, with a challenge to whoever it is.
            writer.write(await there_reader.read(READ_BYTES))
            first = await reader.read(READ_BYTES)
            is_cut = self._partition.concerns(target, first)
            if is_cut:
                await self._partition.passes()
            there_writer.write(first)
            await asyncio.gather(
                self._forward(reader, there_writer, is_cut),
                self._forward(there_reader, writer, is_cut),
            )
        writer.close()
        if there_writer is not None:
            there_writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_cut: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if is_cut:
                    await self._partition.passes()
                writer.write(data)
                await writer.drain()
        writer.close()
