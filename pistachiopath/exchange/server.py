"""HTTP server that passes each request to a handler function."""

from __future__ import annotations

import itertools
import logging
import time
from typing import TYPE_CHECKING

import gevent
import gevent.socket as gsocket
from gevent.server import StreamServer

from ..errors.exchange import BadHttp, CallerLeft, ServerStopping
from ..util.backlog import accept_waiting
from ..util.early_listener import take_listener
from .limits import usual_body
from .request_memory import process_memory
from .server_connection import ServerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from .limits import BodyLimit, ExchangeLimits
    from .request import HttpRequest
    from .request_memory import RequestMemory

logger = logging.getLogger(__name__)

IDLE_POLL_S = 0.05
END_POLL_S = 0.01
# After a pause of the process, answers are written though their time is over.
MIN_END_POLLS = 3
STATUS_FAILED = 500
STATUS_UNKNOWN_OUTCOME = 502
STATUS_NOT_RUN = 503


class HttpServer:
    """Accepts connections and serves the requests on each of them in order.

    `handle` receives the connection and a complete request, and writes the
    response to the connection.  `limits` returns those in force, and `body_limit`
    the largest body of a request.  What requests hold is taken from `memory`.
    `ServerStopping` is raised in a handler that has to answer at once.  If a
    handler fails without having begun a response, the caller gets 500.
    """

    def __init__(
        self,
        *,
        address: str,
        handle: Callable[[ServerConnection, HttpRequest], None],
        limits: Callable[[], ExchangeLimits],
        name: str,
        body_limit: BodyLimit = usual_body,
        memory: RequestMemory = process_memory,
    ) -> None:
        self._address = address
        self._handle = handle
        self._limits = limits
        self._body_limit = body_limit
        self._memory = memory
        self._name = name
        self._connections: dict[ServerConnection, gevent.Greenlet] = {}
        self._stopping = False
        self._ending = False
        self._server: StreamServer | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def start(self) -> None:
        """Listen and start accepting connections; raises `ListenFailed`."""
        listener = take_listener(self._address)
        self._server = StreamServer(
            gsocket.socket(fileno=listener.detach()), self._serve
        )
        self._server.start()
        logger.info('listening', extra={'server': self._name, 'address': self._address})

    def announce_stop(self) -> None:
        """Add `Connection: close` to each response from now on."""
        self._stopping = True
        for conn in self._connections:
            conn.closes_after_response = True

    def stop_accepting(self) -> None:
        """Accept no more connections and close the idle ones.

        Requests on connections that wait to be accepted are served.
        """
        self.announce_stop()
        server, self._server = self._server, None
        if server is not None:
            accept_waiting(server)
            server.stop(timeout=0)
            # The greenlets of accepted connections count them once they have begun.
            gevent.sleep(0)
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for conn in list(self._connections):
            conn.close_if_idle()

    def wait_until_idle(self, timeout_s: float) -> None:
        """Wait for all connections to end, closing them as they become idle.

        Returns after `timeout_s` at the latest.
        """
        deadline = time.monotonic() + timeout_s
        while self._connections and time.monotonic() < deadline:
            gevent.sleep(IDLE_POLL_S)
            self.close_idle()

    def end_unfinished(self, timeout_s: float) -> int:
        """Have all requests in progress answered now; return their number.

        Waits up to `timeout_s`, and some polls at least, until the answers are written.
        """
        self._ending = True
        unfinished = [
            greenlet
            for conn, greenlet in self._connections.items()
            if not conn.is_answered and not conn.is_idle
        ]
        if unfinished:
            logger.warning(
                'unfinished_ended',
                extra={'server': self._name, 'number': len(unfinished)},
            )
        for greenlet in unfinished:
            greenlet.kill(ServerStopping(), block=False)
        deadline = time.monotonic() + timeout_s
        for poll in itertools.count():
            is_over = poll >= MIN_END_POLLS and time.monotonic() >= deadline
            if is_over or not self._connections:
                break
            gevent.sleep(END_POLL_S)
        return len(unfinished)

    def _serve(self, sock: gsocket.socket, _address: tuple) -> None:
        sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
        conn = ServerConnection(
            sock=sock,
            get_limits=self._limits,
            body_limit=self._body_limit,
            memory=self._memory,
        )
        conn.closes_after_response = self._stopping
        self._connections[conn] = gevent.getcurrent()
        try:
            while self._serve_request(conn):
                pass
            if conn.must_linger:
                conn.linger()
        except (CallerLeft, ServerStopping, OSError) as exc:
            logger.debug('caller_left', extra={'error': type(exc).__name__})
        except Exception:
            logger.exception('connection_failed', extra={'server': self._name})
        finally:
            self._connections.pop(conn, None)
            conn.close()
            conn.release_request()

    def _serve_request(self, conn: ServerConnection) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            return self._serve_one(conn)
        finally:
            conn.release_request()

    def _serve_one(self, conn: ServerConnection) -> bool:
        try:
            req = conn.read_request()
        except BadHttp as exc:
            self._reject(conn, exc)
            return False
        except ServerStopping:
            if conn.is_reading:
                conn.reject(STATUS_NOT_RUN)
            return False
        if req is None:
            return False
        if self._ending:
            conn.respond(STATUS_NOT_RUN, [], b'')
            return conn.next_cycle()
        try:
            conn.start_serving(gevent.getcurrent())
            self._handle(conn, req)
        except ServerStopping:
            if conn.has_begun:
                raise
            conn.respond(STATUS_UNKNOWN_OUTCOME, [], b'')
        except CallerLeft:
            raise
        except Exception:
            logger.exception('handler_failed', extra={'server': self._name})
            if not conn.has_begun:
                conn.respond(STATUS_FAILED, [], b'')
        finally:
            conn.stop_serving()
        return conn.next_cycle()

    def _reject(self, conn: ServerConnection, exc: BadHttp) -> None:
        logger.warning(
            'bad_request',
            extra={'server': self._name, 'status': exc.status, 'reason': exc.reason},
        )
        conn.reject(exc.status)
