"""One authenticated link to another process."""

from __future__ import annotations

import contextlib
import logging
import time
from typing import TYPE_CHECKING

import gevent
import gevent.event
import gevent.queue

from ..errors.base import PistachiopathError
from ..errors.transport import FrameTooLarge, LinkClosed
from .codec import decode
from .frames import MAX_FRAME_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages.envelope import Envelope
    from ..util.loop_failures import LoopFailures
    from .frames import FrameSocket

logger = logging.getLogger(__name__)

MAX_QUEUED_BYTES = 32 * 1024 * 1024
MAX_BATCH_FRAMES = 64
SILENCE_S = 5.0
# Time to read what arrived while this process was paused, in steps of the event
# loop: a pause within one step leaves the others.
SILENCE_CHECK_S = 0.1
SILENCE_CHECK_STEPS = 5


class Link:
    """Reads and writes frames in two greenlets until either fails.

    A send closes the link if nothing has been received since an earlier send
    more than `silence_s` ago, nor within `SILENCE_CHECK_S` after it, so that an
    unnoticed network partition does not lose messages for longer.  It also closes
    the link if more than `MAX_QUEUED_BYTES` are queued.

    The link is closed whatever ends one of its greenlets, so that neither side
    goes on sending to one that no longer reads.  A message whose handling fails
    does not end the reader: the protocols above resend lost messages, but if the
    link closed, one message that is sent again and again would take all others
    with it.
    """

    def __init__(
        self,
        *,
        peer: str,
        role: str,
        frames: FrameSocket,
        on_envelope: Callable[[Link, Envelope], None],
        on_closed: Callable[[Link], None],
        on_received: Callable[[int], None],
        failures: LoopFailures,
        silence_s: float = SILENCE_S,
    ) -> None:
        self._silence_s = silence_s
        self.peer = peer
        self.role = role
        self.bytes_sent = 0
        self._frames = frames
        self._on_envelope = on_envelope
        self._on_closed = on_closed
        self._on_received = on_received
        self._failures = failures
        self._queue: gevent.queue.Queue = gevent.queue.Queue()
        self._queued_bytes = 0
        self._unanswered_since: float | None = None
        self._closed = False
        self._is_checking_silence = False
        self._writer = gevent.spawn(self._write)

    def send(self, payload: bytes) -> None:
        """Queue an encoded envelope; a closed or closing link drops it.

        One that is larger than a frame may be is logged and dropped.
        """
        if self._closed:
            return
        if len(payload) > MAX_FRAME_BYTES:
            exc = FrameTooLarge(size=len(payload), limit=MAX_FRAME_BYTES)
            self._failures.record('link', 'send', exc)
            return
        now = time.monotonic()
        if self._unanswered_since is None:
            self._unanswered_since = now
        if now - self._unanswered_since > self._silence_s:
            self._check_silence()
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.close()
            return
        self._queued_bytes += len(payload)
        self._queue.put(payload)

    def read(self) -> None:
        """Read envelopes until the link fails, in the calling greenlet."""
        try:
            with contextlib.suppress(OSError, LinkClosed):
                while True:
                    self._handle(self._frames.read())
        except PistachiopathError as exc:
            logger.warning(
                'link_unreadable', extra={'peer': self.peer, 'error': repr(exc)}
            )
        except Exception as exc:
            self._failures.record('link', 'read', exc)
        finally:
            self.close()

    def drain(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` for queued payloads to be written to the socket."""
        deadline = time.monotonic() + timeout_s
        while self._queued_bytes and not self._closed:
            if time.monotonic() >= deadline:
                return
            gevent.sleep(0.01)

    def close(self) -> None:
        """Close the link; further calls do nothing."""
        if self._closed:
            return
        self._closed = True
        self._queue.put(None)
        try:
            self._frames.close()
        except Exception as exc:
            # Without a report, all that is sent to the peer would be dropped.
            self._failures.record('link', 'close', exc)
        self._on_closed(self)

    def _check_silence(self) -> None:
        """Close the link soon, unless something has been read by then."""
        if not self._is_checking_silence:
            self._is_checking_silence = True
            gevent.spawn(self._close_if_silent, self._unanswered_since)

    def _close_if_silent(self, unanswered_since: float) -> None:
        for _ in range(SILENCE_CHECK_STEPS):
            gevent.sleep(SILENCE_CHECK_S / SILENCE_CHECK_STEPS)
        self._is_checking_silence = False
        if self._unanswered_since == unanswered_since:
            self.close()

    def _handle(self, payload: bytes) -> None:
        self._unanswered_since = None
        self._on_received(len(payload))
        envelope = decode(payload)
        try:
            self._on_envelope(self, envelope)
        except Exception as exc:
            self._failures.record('message', type(envelope.body).__name__, exc)

    def _write(self) -> None:
        try:
            with contextlib.suppress(OSError):
                self._write_batches()
        except Exception as exc:
            self._failures.record('link', 'write', exc)
        finally:
            self.close()

    def _write_batches(self) -> None:
        """Write what is queued until the link is closed; raises `OSError`."""
        while True:
            payload = self._queue.get()
            if payload is None:
                return
            batch = [payload]
            while len(batch) < MAX_BATCH_FRAMES and not self._queue.empty():
                next_payload = self._queue.get()
                if next_payload is None:
                    return
                batch.append(next_payload)
            self._frames.write(batch)
            size = sum(len(part) for part in batch)
            self._queued_bytes -= size
            self.bytes_sent += size
