"""Requests of a day, read from the logs of its entries."""

from __future__ import annotations

import datetime
import re
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
# The bench of the users' platform prefixes each line with the second of the day.
SECOND_OF_DAY = re.compile(r'\s*(-?\d+\.\d+) ')
DELIVERED = 'delivered'
PLACELESS = 'no_place'
# Kinds of ends of a request, as the day summary counts them.
IN_TIME, LATE, REFUSED, FAILED = 'in time', 'late', 'refused', 'failed'
END_KINDS = (IN_TIME, LATE, REFUSED, FAILED)


@attrs.define(kw_only=True, frozen=True)
class DayRequest:
    """One answer of an entry; times in seconds of the day.

    If the entry refused the request, `outcome` is the reason.  `first_event_s`
    is 0 if the answer had no event.
    """

    started_at: float
    ended_at: float
    tier: int
    outcome: str
    is_refused: bool
    waited_s: float = 0.0
    first_event_s: float = 0.0
    sends: int = 0

    @property
    def engine_s(self) -> float:
        """Seconds for which the request held a place before an engine."""
        if not self.sends:
            return 0.0
        return max(0.0, self.ended_at - self.started_at - self.waited_s)

    def end_kind(self, objective_s: float) -> str:
        """Return the kind of end; late means a first event after the objective."""
        if self.is_refused:
            return REFUSED
        if self.outcome != DELIVERED:
            return FAILED
        return IN_TIME if self.first_event_s <= objective_s else LATE


def read_day(lines: Iterable[str]) -> Iterator[DayRequest]:
    """Yield the requests of a log and skip all other lines.

    Requests that are refused before they have a tier (no route, no key,
    allowance exceeded) are left out.
    """
    for line in lines:
        fields = {name: value.strip('"') for name, value in FIELD.findall(line)}
        match fields.get('msg'):
            case 'request_done':
                yield _parse_done(fields, _second_of_day(line, fields))
            case 'request_turned_away' if int(fields['tier']) >= 0:
                yield _parse_turned_away(fields, _second_of_day(line, fields))


def _second_of_day(line: str, fields: dict[str, str]) -> float:
    """Return the second of the day, or of the epoch where the line has none."""
    match = SECOND_OF_DAY.match(line)
    if match:
        return float(match[1])
    at = datetime.datetime.strptime(fields['at'], '%Y-%m-%d %H:%M:%S,%f')
    return at.replace(tzinfo=datetime.UTC).timestamp()


def _parse_done(fields: dict[str, str], at: float) -> DayRequest:
    return DayRequest(
        started_at=at - int(fields['total_ms']) / 1000,
        ended_at=at,
        tier=int(fields['tier']),
        outcome=fields['outcome'],
        is_refused=False,
        waited_s=int(fields['waited_ms']) / 1000,
        first_event_s=int(fields['first_ms']) / 1000,
        sends=int(fields['sends']),
    )


def _parse_turned_away(fields: dict[str, str], at: float) -> DayRequest:
    return DayRequest(
        started_at=at - int(fields['held_ms']) / 1000,
        ended_at=at,
        tier=int(fields['tier']),
        outcome=fields['reason'],
        is_refused=True,
        waited_s=int(fields['held_ms']) / 1000,
    )
