"""Hop-by-hop headers, which apply to a single connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .request import Headers

HOP_HEADERS = frozenset(
    {
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)


HOST = b'host'


def end_to_end(headers: Headers, *, kept: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers that may be forwarded.

    Drops those in `HOP_HEADERS` and those listed in `Connection`, which may name
    neither `Host` nor any of `kept`.
    """
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b'connection'
        for token in value.split(b',')
    }
    dropped = HOP_HEADERS | (named - kept - {HOST})
    return [(name, value) for name, value in headers if name not in dropped]
