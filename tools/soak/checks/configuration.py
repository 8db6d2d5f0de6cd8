"""Checks of the configuration at control nodes and entries."""

from __future__ import annotations

import json
import math
from collections import defaultdict
from typing import TYPE_CHECKING

from ..attempt import Outcome
from ..documents import has_extra_route, moved_service
from ..request_kind import RequestKind
from .violation import Violation

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..arrival import Arrival
    from ..attempt import Attempt
    from ..history import History
    from ..operations import Put, Read

NOT_FOUND = 404
DENIALS = frozenset({400, 401, 403, 404, 413, 431})


def configuration_kept(history: History) -> Iterator[Violation]:
    """Yield acknowledged configurations that are lost, go back or come too late."""
    for put in history.puts:
        text = _put_fault(history, put)
        if text:
            yield Violation(at=put.sent_at, text=f'version {put.version} {text}')
    for read in history.reads:
        text = _read_fault(history, read)
        if text:
            yield Violation(at=read.ended_at, text=f'{read.node}: {text}')
    since = history.faults_until + history.bounds.recover_s
    late = [read for read in history.reads if read.sent_at >= since]
    if late and not any(read.status == 200 for read in late):
        text = f'none of the last {len(late)} reads is answered'
        yield Violation(at=late[-1].ended_at, text=text)


def control_nodes_serve(history: History) -> Iterator[Violation]:
    """Yield control nodes that do not answer a read after the time to recover.

    Such a node is outside of the control nodes' group.
    """
    for read in history.last_reads:
        if read.status != 200:
            text = f'{read.node} answers a read with {read.status} at the end'
            yield Violation(at=read.ended_at, text=text)


def _put_fault(history: History, put: Put) -> str:
    is_acked = put.acked_at < math.inf
    if not put.is_valid:
        return 'is invalid and was acknowledged' if is_acked else ''
    until = min(put.acked_at, history.ended_at)
    waited_s = until - put.sent_at
    if waited_s <= history.bounds.ack_s or not history.is_core_calm(put.sent_at, until):
        return ''
    return f'has no acknowledgement after {waited_s:.1f} s, last status {put.status}'


def _read_fault(history: History, read: Read) -> str:
    if read.status not in (200, NOT_FOUND):
        return ''
    acked = _acked_version(history, read.sent_at - history.bounds.config_s)
    if read.version < acked:
        return f'version {read.version} was read after {acked} was acknowledged'
    if read.status == NOT_FOUND:
        return ''
    puts = [put for put in history.puts if put.version == read.version]
    is_sent = any(put.is_valid and _is_same(read, put) for put in puts)
    return '' if is_sent else f'other content under version {read.version}'


def _is_same(read: Read, put: Put) -> bool:
    try:
        return json.loads(read.content) == json.loads(put.content)
    except ValueError:
        return False


def _acked_version(history: History, until: float) -> int:
    """Return the highest version that was acknowledged until a moment, or 0."""
    acked = (put.version for put in history.puts if put.acked_at <= until)
    return max(acked, default=0)


def configuration_in_force(history: History) -> Iterator[Violation]:
    """Yield requests that are denied or run as only another version allows."""
    shown = _shown_versions(history)
    for attempt, arrivals in history.requests():
        versions = _possible(history, attempt, shown)
        runs = [arrival for arrival in arrivals if arrival.ran]
        text = _force_fault(attempt, runs, versions)
        if text:
            yield Violation(
                at=attempt.ended_at,
                request=attempt.request,
                text=f'{text} at {attempt.entry}, versions '
                f'{versions.start} to {versions.stop - 1}',
            )


def _shown_versions(
    history: History,
) -> dict[tuple[str, int], list[tuple[float, int]]]:
    """Return which versions each process has shown to be in force, and when."""
    shown = defaultdict(list)
    for attempt, arrivals in history.requests():
        if attempt.kind is RequestKind.EXTRA:
            process = (attempt.entry, attempt.lifetime)
            shown[process] += [(a.at, attempt.configuration) for a in arrivals if a.ran]
    return shown


def _possible(
    history: History,
    attempt: Attempt,
    shown: dict[tuple[str, int], list[tuple[float, int]]],
) -> range:
    """Return the versions that may be in force for an attempt."""
    since = attempt.began_at - history.bounds.config_s
    until = attempt.ended_at
    is_entry_calm = history.is_entry_calm(attempt.entry, since, until)
    is_calm = is_entry_calm and history.is_core_calm(since, until)
    low = _acked_version(history, since) if is_calm else 0
    for at, version in shown.get((attempt.entry, attempt.lifetime), ()):
        if at <= attempt.began_at - history.bounds.revert_s:
            low = max(low, version)
    sent = [put.version for put in history.puts if put.sent_at <= until]
    return range(low, max([low, *sent]) + 1)


def _force_fault(attempt: Attempt, runs: list[Arrival], versions: range) -> str:
    is_own = attempt.outcome is Outcome.ANSWERED and not attempt.signature
    is_denied = is_own and attempt.status in DENIALS
    if attempt.kind is RequestKind.EXTRA:
        has_route = [has_extra_route(v, attempt.configuration) for v in versions]
        if is_denied and all(has_route):
            return f'route {attempt.configuration} is denied with {attempt.status}'
        if runs and not any(has_route):
            return f'route {attempt.configuration} is served'
        return ''
    if is_denied:
        return f'a route of all versions is denied with {attempt.status}'
    services = {moved_service(v) for v in versions if v}
    wrong = [run.service for run in runs if run.service not in services]
    is_moved = attempt.kind is RequestKind.MOVED
    return f'run by {wrong[0]}' if wrong and is_moved else ''
