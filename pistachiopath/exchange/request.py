"""A request received over HTTP."""

from __future__ import annotations

import attrs

Headers = list[tuple[bytes, bytes]]


def first_value(headers: Headers, name: bytes) -> str:
    """Return the first value of a header, or an empty string.

    >>> first_value([(b'host', b'a'), (b'host', b'b')], b'host')
    'a'
    """
    for key, value in headers:
        if key == name:
            return value.decode('latin-1')
    return ''


@attrs.define(kw_only=True, frozen=True)
class HttpRequest:
    """A complete request; header names are in lower case.

    `target` is the request target: the path and query as received.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        return first_value(self.headers, name)

    @property
    def path(self) -> str:
        """Path without its query."""
        return self.target.partition(b'?')[0].decode('latin-1')
