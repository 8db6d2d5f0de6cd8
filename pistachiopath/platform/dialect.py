"""Translates request and response headers between the platform and the relay."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from ..errors.exchange import BadHttp, NumberTooLarge
from ..exchange.decimal import parse_decimal
from ..exchange.hop_headers import end_to_end
from ..messages.ranges import MAX_EXACT, MAX_INTEGER, MAX_TOKENS
from ..relay.caller_request import CallerRequest
from ..relay.target_notice import TargetNotice
from ..relay.verdict import Verdict
from ..routing.prompt_part import PromptPart
from . import names

if TYPE_CHECKING:
    from ..exchange.answer import AnswerHead
    from ..exchange.request import Headers, HttpRequest

STATUS_MISDIRECTED_REQUEST = 421
STATUS_UNAVAILABLE = 503
SECONDS = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
MAX_LOGGED = 40
# Headers that belong to the request or the answer, whatever `Connection` says.
KEPT_HEADERS = frozenset({names.REQUEST_ID, names.SIGNATURE})
# With these statuses the system itself promises that a request did not run.
# From a replica they prove nothing without the header `names.NOT_EXECUTED`.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


class PlatformDialect:
    """Reads and writes the platform's headers for the relay."""

    request_id_header = names.REQUEST_ID

    def read(self, http: HttpRequest) -> CallerRequest:
        """Return the request with its decoded headers; raises `BadHttp`."""
        request_id = http.header(names.REQUEST_ID)
        if not request_id:
            raise BadHttp(status=400, reason='no_request_id')
        counts = _parse_token_counts(http.header(names.TOKEN_COUNTS))
        deadline_ms = _parse_stated(http.header(names.DEADLINE_MS), MAX_EXACT)
        return CallerRequest(
            http=http,
            request_id=request_id,
            host=http.header(b'host').partition(':')[0],
            key=_parse_key(http.header(names.AUTHORIZATION)),
            deadline_s=None if deadline_ms is None else deadline_ms / 1000,
            prompt_tokens=counts[0] if counts else 0,
            output_tokens=counts[1] if counts else 0,
            has_counts=counts is not None,
            model=http.header(names.MODEL),
            parts=_parse_prompt_parts(http.header(names.PROMPT_PARTS)),
            last_event=_parse_stated(http.header(names.LAST_EVENT), MAX_INTEGER),
            resumes=http.header(names.RESUMES).strip(),
        )

    def target_headers(
        self,
        req: CallerRequest,
        *,
        replica: str,
        customer: str,
        remaining_s: float,
        last_event: int | None,
    ) -> Headers:
        """Return the headers of the request that is sent to a replica."""
        headers = [
            (name, value)
            for name, value in end_to_end(req.http.headers, kept=KEPT_HEADERS)
            if name not in names.SYSTEM_HEADERS and name != names.REQUEST_ID
        ]
        # A replica repeats one id; a caller may have sent several.
        headers.append((names.REQUEST_ID, req.request_id.encode('latin-1')))
        headers.append((names.REPLICA_EXPECTED, _header_value(replica)))
        headers.append((names.DEADLINE_MS, b'%d' % max(1, int(remaining_s * 1000))))
        if customer:
            headers.append((names.CUSTOMER, _header_value(customer)))
        if last_event is not None:
            headers.append((names.LAST_EVENT, b'%d' % last_event))
        return headers

    def verdict(self, head: AnswerHead) -> Verdict:
        """Return what a replica's answer proves about the request."""
        if head.status == STATUS_MISDIRECTED_REQUEST:
            return Verdict.ELSEWHERE
        if head.has(names.NOT_EXECUTED):
            return Verdict.NOT_RUN
        if head.has(b'content-encoding') or head.status in NOT_EXECUTED_STATUSES:
            return Verdict.UNPROVEN
        if not head.is_success:
            return Verdict.FAILURE
        if not head.has(names.SIGNATURE):
            return Verdict.UNPROVEN
        return Verdict.SUCCESS

    def notice(self, head: AnswerHead) -> TargetNotice:
        """Return what a replica's answer says of the replica itself.

        An answer for another replica's address says nothing.
        """
        if head.status == STATUS_MISDIRECTED_REQUEST:
            return TargetNotice()
        is_leaving = head.header(names.LEAVING) == '1'
        stated = head.header(names.RETRY_AFTER).strip()
        if head.status != STATUS_UNAVAILABLE or not stated:
            return TargetNotice(is_leaving=is_leaving)
        if not SECONDS.fullmatch(stated):
            return TargetNotice(is_leaving=is_leaving, unreadable=stated[:MAX_LOGGED])
        return TargetNotice(is_leaving=is_leaving, backoff_s=float(stated))

    def caller_headers(self, head: AnswerHead) -> Headers:
        """Return the headers of a replica's answer that are sent to the caller."""
        return end_to_end(head.headers, kept=KEPT_HEADERS)

    def own_headers(self, req: CallerRequest, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer that the entry itself generates."""
        headers = [(names.REQUEST_ID, req.request_id.encode('latin-1'))]
        if retry_after_s is not None:
            headers.append((names.RETRY_AFTER, b'%.2f' % retry_after_s))
        return headers


def _header_value(name: str) -> bytes:
    """Return a name without control characters as the bytes of a header."""
    return name.strip(' ').encode('utf-8')


def _parse_stated(text: str, maximum: int) -> int | None:
    """Return a number that a caller states, or None; raises `BadHttp`.

    A number that is too large says something of the request that can't be
    carried out, so it is not taken for absent.
    """
    try:
        return parse_decimal(text, maximum)
    except NumberTooLarge as exc:
        raise BadHttp(status=400, reason='number_too_large') from exc


def _parse_token_counts(text: str) -> tuple[int, int] | None:
    """Return the prompt and output token counts, or None if either is invalid.

    Raises `BadHttp` if one is too large.
    """
    prompt, _, output = text.partition(',')
    numbers = (
        _parse_stated(prompt.strip(), MAX_TOKENS),
        _parse_stated(output.strip(), MAX_TOKENS),
    )
    if None in numbers:
        return None
    return numbers


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        number = _parse_part_tokens(tokens)
        if part_id and number is not None:
            parts.append(PromptPart(part_id=part_id, tokens=number))
    return tuple(parts)


def _parse_part_tokens(text: str) -> int | None:
    """Return the tokens of a part, which only help to choose a target."""
    try:
        return parse_decimal(text, MAX_TOKENS)
    except NumberTooLarge:
        return None


def _parse_key(authorization: str) -> str:
    if authorization.lower().startswith(names.AUTHORIZATION_SCHEME):
        return _utf8(authorization[len(names.AUTHORIZATION_SCHEME) :].strip())
    return ''


def _utf8(header: str) -> str:
    """Return the text of a header that may be encoded as UTF-8."""
    try:
        return header.encode('latin-1').decode('utf-8')
    except UnicodeDecodeError:
        return header
