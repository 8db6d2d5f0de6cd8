"""A TCP proxy on loopback that disturbs the connections which it forwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import gevent
import gevent.event
import gevent.server
import gevent.socket as gsocket

from .http_stream import reset
from .topology import split_address

if TYPE_CHECKING:
    from .partition import Partition

READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class _Pair:
    """The two sockets of a forwarded connection."""

    client: gsocket.socket
    server: gsocket.socket
    # The program that has opened the connection, once it is known.
    sender: str = ''

    def reset(self) -> None:
        reset(self.client)
        reset(self.server)


class Proxy:
    """Forwards connections from `address` to `target`.

    `delay_s` is added to all that is forwarded.  `hold` stops one direction or both
    until `release`; held bytes are forwarded then.  `reset` resets all connections.
    Between programs a `partition` may hold connections too.
    """

    def __init__(
        self, *, address: str, target: str, partition: Partition | None = None
    ) -> None:
        self.delay_s = 0.0
        self._address = address
        self.partition = partition
        self._target = split_address(target)
        self._flows = {'in': gevent.event.Event(), 'out': gevent.event.Event()}
        self._pairs: set[_Pair] = set()
        self._server = gevent.server.StreamServer(split_address(address), self._forward)
        self.release()

    def start(self) -> None:
        """Listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.stop(timeout=0)
        self.reset()

    def hold(self, *directions: str) -> None:
        """Stop forwarding `in` (to the target), `out` (from the target) or both."""
        for direction in directions:
            self._flows[direction].clear()

    def release(self) -> None:
        """Forward in both directions."""
        for flow in self._flows.values():
            flow.set()

    def reset(self) -> None:
        """Reset all connections."""
        for pair in list(self._pairs):
            pair.reset()

    def _forward(self, client: gsocket.socket, _address: tuple) -> None:
        try:
            server = gsocket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            reset(client)
            return
        server.settimeout(None)
        for sock in (client, server):
            sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
        pair = _Pair(client, server)
        self._pairs.add(pair)
        back = gevent.spawn(self._copy, pair, server, client, 'out')
        self._copy(pair, client, server, 'in')
        # A client that has closed its socket takes nothing more.
        client.close()
        server.close()
        back.join()
        self._pairs.discard(pair)

    def _copy(
        self, pair: _Pair, source: gsocket.socket, sink: gsocket.socket, direction: str
    ) -> None:
        """Forward one direction, and its end, until it ends or fails."""
        try:
            while data := source.recv(READ_BYTES):
                if self.partition and direction == 'in' and not pair.sender:
                    pair.sender = self.partition.sender(data)
                self._wait(pair, direction)
                sink.sendall(data)
            self._wait(pair, direction)
            sink.shutdown(gsocket.SHUT_WR)
        except OSError:
            self._wait(pair, direction)
            pair.reset()

    def _wait(self, pair: _Pair, direction: str) -> None:
        if self.delay_s:
            gevent.sleep(self.delay_s)
        self._flows[direction].wait()
        if self.partition and pair.sender:
            self.partition.wait(pair.sender, self._address)
