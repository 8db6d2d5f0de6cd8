"""Protocol for the header translation that an adapter provides."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..exchange.answer import AnswerHead
    from ..exchange.request import Headers, HttpRequest
    from .caller_request import CallerRequest
    from .target_notice import TargetNotice
    from .verdict import Verdict


class Dialect(Protocol):
    """Header names and their meaning on one platform."""

    request_id_header: bytes

    def read(self, http: HttpRequest) -> CallerRequest:
        """Parse the headers of a request; raises `BadHttp`."""

    def target_headers(
        self,
        req: CallerRequest,
        *,
        replica: str,
        customer: str,
        remaining_s: float,
        last_event: int | None,
    ) -> Headers:
        """Return the headers of a request to a target."""

    def verdict(self, head: AnswerHead) -> Verdict:
        """Classify an answer by its head."""

    def notice(self, head: AnswerHead) -> TargetNotice:
        """Return what a target's answer says of the target itself."""

    def caller_headers(self, head: AnswerHead) -> Headers:
        """Return the headers to send to the caller with a target's answer."""

    def own_headers(self, req: CallerRequest, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer that the entry itself gives."""
