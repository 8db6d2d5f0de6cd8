"""Pool of idle connections to targets."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..errors.exchange import ConnectFailed
from .target_connection import TargetConnection

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_IDLE_PER_TARGET = 8
# A target that does not answer within this time neither accepts nor refuses.
CHECK_TIMEOUT_S = 0.3


class ConnectionPool:
    """Keeps reusable connections and hands out the most recently used first.

    `on_accepted` is called with the address of a target that accepted the connection
    of a check, and `on_closed_early` with that of a target that closed an idle
    connection before the time it had stated, and the time since when it was idle.
    `on_heard` is that of `TargetConnection`.
    """

    def __init__(
        self,
        *,
        request_id_header: bytes,
        on_accepted: Callable[[str], None] = lambda address: None,
        on_closed_early: Callable[[str, float], None] = lambda address, since: None,
        on_heard: Callable[[str, float, float], None] = lambda *_: None,
    ) -> None:
        self._id_header = request_id_header
        self._on_accepted = on_accepted
        self._on_closed_early = on_closed_early
        self._on_heard = on_heard
        self._idle: dict[str, list[TargetConnection]] = {}
        self.opened = 0

    def take(
        self, address: str, connect_timeout_s: float, request_id: bytes = b''
    ) -> TargetConnection:
        """Return an idle or new connection to a target; raises `ConnectFailed`.

        A connection that has carried `request_id` is left alone: a target that
        repeats its response to that request would be taken to answer this one.
        """
        idle = self._idle.get(address, [])
        usable = [c for c in idle if not c.has_carried(request_id)]
        while usable:
            conn = usable.pop()
            idle.remove(conn)
            if conn.is_reusable(time.monotonic()):
                return conn
            conn.close()
        return self._open(address, connect_timeout_s)

    def open_another(self, address: str, connect_timeout_s: float) -> TargetConnection:
        """Open a connection for the next request; raises `ConnectFailed`.

        An idle connection does not show that its target still answers.
        """
        conn = self._open(address, connect_timeout_s)
        conn.keep_idle(time.monotonic())
        self.give_back(conn)
        return conn

    def refuses(self, address: str) -> bool:
        """Return whether a target refuses connections.

        A connection that it accepts is kept for the next request.
        """
        return self._check(address) == ConnectionRefusedError.__name__

    def accepts(self, address: str) -> bool:
        """Return whether a target accepts a connection, which is kept."""
        return not self._check(address)

    def _check(self, address: str) -> str:
        """Return why a target accepts no connection, an empty string if it does."""
        try:
            self.open_another(address, CHECK_TIMEOUT_S)
        except ConnectFailed as exc:
            return exc.reason
        self._on_accepted(address)
        return ''

    def drop_closed(self, address: str, now: float) -> None:
        """Drop the idle connections to a target that it has closed early."""
        idle = self._idle.get(address, [])
        for conn in [c for c in idle if c.is_closed_early(now)]:
            idle.remove(conn)
            conn.close()
            self._on_closed_early(address, conn.idle_since)

    def _open(self, address: str, connect_timeout_s: float) -> TargetConnection:
        conn = TargetConnection(
            address=address,
            request_id_header=self._id_header,
            on_heard=self._on_heard,
        )
        conn.connect(connect_timeout_s)
        self.opened += 1
        return conn

    def give_back(self, conn: TargetConnection) -> None:
        """Keep a connection that is ready for another request."""
        idle = self._idle.setdefault(conn.address, [])
        idle.append(conn)
        if len(idle) > MAX_IDLE_PER_TARGET:
            idle.pop(0).close()

    def forget(self, address: str) -> None:
        """Close the idle connections to a target."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def prune(self, now: float) -> None:
        """Close connections past their idle time, which their targets close soon."""
        for address, idle in list(self._idle.items()):
            kept = [conn for conn in idle if now < conn.idle_until]
            for conn in idle:
                if now >= conn.idle_until:
                    conn.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
