"""Head of a target's response."""

from __future__ import annotations

import attrs

from .request import Headers, first_value

STATUS_NO_CONTENT = 204


@attrs.define(kw_only=True, frozen=True)
class AnswerHead:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    @property
    def is_framed(self) -> bool:
        """Whether the end of the body does not depend on that of the connection."""
        return (
            self.status == STATUS_NO_CONTENT
            or self.has(b'content-length')
            or self.has(b'transfer-encoding')
        )

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        return first_value(self.headers, name)

    def has(self, name: bytes) -> bool:
        """Return whether a header is present."""
        return any(key == name for key, _ in self.headers)
