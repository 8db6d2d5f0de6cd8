"""Links of one process to all other processes, by name or address."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import gevent
import gevent.server
import gevent.socket as gsocket

from ..errors.base import PistachiopathError
from ..messages.configuration import Accept, ConfigurationRequest
from ..messages.envelope import Envelope
from ..messages.session import Rejected
from ..messages.status import StatusRequest
from ..util.early_listener import take_listener
from .codec import encode
from .frames import MAX_HANDSHAKE_FRAME_BYTES, FrameSocket
from .handshake import ROLE_NODE, ROLE_OPERATOR, Identity, accept, dial
from .link import SILENCE_S, Link
from .outbound import OutboundEncoder

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..effects import Send
    from ..messages.base import Message
    from ..util.loop_failures import LoopFailures

logger = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 3.0
DIAL_TIMEOUT_S = 1.0
REDIAL_INTERVAL_S = 0.1
# Errors of opening a connection, also to an address that is none.
CONNECT_ERRORS = (OSError, ValueError, OverflowError)
OPERATOR_MESSAGES = (StatusRequest, Accept, ConfigurationRequest)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`."""
    host, _, port = address.rpartition(':')
    return host, int(port)


class Network:
    """Sends messages to names or addresses over authenticated links.

    A message to an address opens a link if there is none.  A message to a
    name is dropped unless the process of that name has opened a link.
    Messages are also dropped if their link breaks or can't be opened; the
    protocols above resend them.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        on_message: Callable[[str, int, Message], None],
        on_lost: Callable[[str], None],
        failures: LoopFailures,
        silence_s: float = SILENCE_S,
    ) -> None:
        self._identity = identity
        self._silence_s = silence_s
        self._on_message = on_message
        self._on_lost = on_lost
        self._failures = failures
        self._links: dict[str, Link] = {}
        self._dialling: dict[str, list[bytes]] = {}
        self._failed_at: dict[str, float] = {}
        self._server: gevent.server.StreamServer | None = None
        self._encoder = OutboundEncoder()
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0

    def listen(self, address: str) -> None:
        """Accept links at an address; raises `ListenFailed`."""
        listener = gsocket.socket(fileno=take_listener(address).detach())
        self._server = gevent.server.StreamServer(listener, self._serve)
        self._server.start()

    def send(self, to: str, call: int, body: Message) -> None:
        """Send a message, opening a link to an address if there is none.

        A message to this process itself is delivered without a link.  One that
        can't be encoded is logged and dropped.
        """
        if to == self._identity.name:
            gevent.spawn(self._deliver_here, call, body)
            return
        payload = self._encoder.encode(to, call, body)
        if payload is None:
            return
        self.sent_bytes += len(payload)
        self.sent_messages += 1
        link = self._links.get(to)
        if link is not None:
            link.send(payload)
        elif to in self._dialling:
            self._dialling[to].append(payload)
        elif ':' in to:
            self._start_dial(to, payload)

    def send_all(self, effects: Iterable[Send]) -> None:
        """Send the messages of a decision core, in their order."""
        for effect in effects:
            self.send(effect.to, effect.call, effect.body)

    def close(self, drain_s: float = 1.0) -> None:
        """Stop accepting links, write queued messages and close all links.

        The links get up to `drain_s` in all to write their queues.
        """
        deadline = time.monotonic() + drain_s
        if self._server is not None:
            self._server.stop(timeout=0)
        for link in list(self._links.values()):
            link.drain(max(0.0, deadline - time.monotonic()))
            link.close()

    def _start_dial(self, to: str, payload: bytes) -> None:
        if (
            time.monotonic() - self._failed_at.get(to, -REDIAL_INTERVAL_S)
            < REDIAL_INTERVAL_S
        ):
            return
        self._dialling[to] = [payload]
        gevent.spawn(self._dial, to)

    def _deliver_here(self, call: int, body: Message) -> None:
        try:
            self._on_message(self._identity.name, call, body)
        except Exception as exc:
            self._failures.record('message', type(body).__name__, exc)

    def _dial(self, to: str) -> None:
        try:
            frames = self._connect(to)
        except (*CONNECT_ERRORS, PistachiopathError) as exc:
            self._record_failed_dial(to, exc)
            return
        except Exception as exc:
            # Without this, messages would be queued for a dial that never ends.
            self._failures.record('link', 'dial', exc)
            self._record_failed_dial(to, exc)
            return
        self._failed_at.pop(to, None)
        payloads = self._dialling.pop(to, ())
        link = self._add_link(to, ROLE_NODE, frames)
        for payload in payloads:
            link.send(payload)
        link.read()

    def _connect(self, to: str) -> FrameSocket:
        """Return an authenticated connection; raises `OSError` or a typed error."""
        sock = gsocket.create_connection(split_address(to), DIAL_TIMEOUT_S)
        frames = _untrusted(sock, to)
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_S, OSError('handshake timeout')):
                dial(frames, self._identity, to)
            frames.trust()
        except BaseException:
            frames.close()
            raise
        return frames

    def _record_failed_dial(self, to: str, exc: Exception) -> None:
        if to not in self._failed_at:
            logger.warning(
                'link_failed', extra={'peer': to, 'error': type(exc).__name__}
            )
        self._dialling.pop(to, None)
        self._failed_at[to] = time.monotonic()
        self._report_lost(to)

    def _serve(self, sock: gsocket.socket, _address: tuple) -> None:
        frames = _untrusted(sock, '')
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_S, OSError('handshake timeout')):
                hello = accept(frames, self._identity)
            frames.trust()
        except (OSError, PistachiopathError) as exc:
            logger.warning('link_refused', extra={'error': type(exc).__name__})
            frames.close()
            return
        except Exception as exc:
            self._failures.record('link', 'accept', exc)
            frames.close()
            return
        self._add_link(hello.name, hello.role, frames).read()

    def _add_link(self, peer: str, role: str, frames: FrameSocket) -> Link:
        link = Link(
            peer=peer,
            role=role,
            frames=frames,
            on_envelope=self._on_envelope,
            on_closed=self._on_closed,
            on_received=self._count_received,
            failures=self._failures,
            silence_s=self._silence_s,
        )
        self._links[peer] = link
        return link

    def _count_received(self, size: int) -> None:
        self.received_bytes += size

    def _on_envelope(self, link: Link, envelope: Envelope) -> None:
        body = envelope.body
        if link.role == ROLE_OPERATOR and not isinstance(body, OPERATOR_MESSAGES):
            rejection = Rejected(error='forbidden', detail=type(body).__name__)
            link.send(encode(Envelope(call=envelope.call, body=rejection)))
            return
        if link.role == ROLE_NODE and isinstance(body, Accept):
            rejection = Rejected(error='forbidden', detail='Accept')
            link.send(encode(Envelope(call=envelope.call, body=rejection)))
            return
        self._on_message(link.peer, envelope.call, body)

    def _on_closed(self, link: Link) -> None:
        if self._links.get(link.peer) is link:
            del self._links[link.peer]
            self._report_lost(link.peer)

    def _report_lost(self, peer: str) -> None:
        """Report a lost link; an error does not reach what closed the link."""
        try:
            self._on_lost(peer)
        except Exception as exc:
            self._failures.record('link', 'lost', exc)


def _untrusted(sock: gsocket.socket, peer: str) -> FrameSocket:
    limit = MAX_HANDSHAKE_FRAME_BYTES
    return FrameSocket(sock=_configured(sock), peer=peer, limit=limit)


def _configured(sock: gsocket.socket) -> gsocket.socket:
    sock.settimeout(None)
    sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
    return sock
