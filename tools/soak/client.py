"""Calls of replicas and operators to control nodes."""

from __future__ import annotations

import json

import attrs
import gevent

from .http_stream import BadMessage, CutOff, HttpStream, head_bytes

CALL_TIMEOUT_S = 1.0


@attrs.define(kw_only=True, frozen=True)
class Reply:
    """Status and body of an answer; a status of 0 means that there was none."""

    status: int = 0
    body: bytes = b''

    @property
    def is_success(self) -> bool:
        """Whether the status is 200 to 299."""
        return 200 <= self.status < 300


def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Reply:
    """Make one call on a new connection.

    A body that is neither bytes nor None is sent as JSON.
    """
    if body is None:
        content = b''
    else:
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
    stream = None
    try:
        with gevent.Timeout(timeout_s, TimeoutError()):
            stream = HttpStream.connect(address, timeout_s)
            headers = [
                ('Host', address),
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(content))),
                ('Connection', 'close'),
            ]
            stream.write(head_bytes(f'{method} {path} HTTP/1.1', headers) + content)
            head = stream.read_head()
            if head is None:
                return Reply()
            data = b''.join(stream.read_body(head, until_end=True))
            return Reply(status=head.status, body=data)
    except (OSError, CutOff, BadMessage):
        return Reply()
    finally:
        if stream is not None:
            stream.close()
