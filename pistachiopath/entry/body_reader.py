"""Reads callers' bodies within the memory for requests in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ..errors.admission import BadRequest
from ..errors.exchange import BadHttp
from ..exchange.inbound import READ_BYTES

if TYPE_CHECKING:
    from typing import BinaryIO

    from ..exchange.request_memory import HeldMemory

# A body of which nothing arrives for so long would hold its memory for ever.
PIECE_TIMEOUT_S = 3.0
RETRY_MS = 1000


def read_body(
    stream: BinaryIO, *, stated: int | None, limit: int, held: HeldMemory
) -> bytes:
    """Return a body of at most `limit` bytes; raises `BadRequest`.

    `stated` is its length, None if it comes in chunks.  Memory for each piece is taken
    before it is read.
    """
    if (stated or 0) > limit:
        raise _too_large(limit)
    body = bytearray()
    while stated is None or len(body) < stated:
        left = READ_BYTES if stated is None else stated - len(body)
        piece = _read_piece(stream, _reserve(held, len(body), left, stated))
        if not piece:
            break
        body += piece
        if len(body) > limit:
            raise _too_large(limit)
    held.complete(len(body))
    return bytes(body)


def _reserve(held: HeldMemory, received: int, left: int, stated: int | None) -> int:
    try:
        held.check()
        return held.reserve(received, min(READ_BYTES, left), stated)
    except BadHttp as exc:
        raise BadRequest(
            code=exc.reason,
            detail='too many large requests are in progress',
            http_status=exc.status,
            retry_after_ms=RETRY_MS,
        ) from exc


def _read_piece(stream: BinaryIO, size: int) -> bytes:
    slow = BadRequest(
        code='body_timeout', detail='the body stopped arriving', http_status=408
    )
    with gevent.Timeout(PIECE_TIMEOUT_S, slow):
        return stream.read(size)


def _too_large(limit: int) -> BadRequest:
    return BadRequest(
        code='body_too_large', detail=f'at most {limit} bytes', http_status=413
    )
