"""The report of a run as text."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from .fault_kind import NOTICED_KINDS
from .returns import StreamShares

if TYPE_CHECKING:
    from .checks.violation import Violation
    from .fault import FaultRecord
    from .history import History

WORST = 5
# Violations of each check that are shown.
MAX_SHOWN = 5


def render(seed: int, history: History, violations: tuple[Violation, ...]) -> str:
    """Return what took place in a run and what is wrong."""
    verdict = 'passed' if not violations else f'FAILED: {len(violations)} violations'
    span_s = history.ended_at - history.started_at
    parts = [
        f'seed {seed}, {span_s:.0f} s: {verdict}',
        *_violations(history, violations),
        *_requests(history),
        *_streams(history),
        *_faults(history),
        *_recovery(history),
        *_waits(history),
        *_resources(history),
    ]
    return '\n'.join(parts)


def _violations(history: History, violations: tuple[Violation, ...]) -> list[str]:
    """Return the first violations of each check, with the faults around them."""
    lines = []
    for check, count in Counter(v.check for v in violations).items():
        lines.append(f'{check}: {count}')
        for violation in [v for v in violations if v.check == check][:MAX_SHOWN]:
            at_s = violation.at - history.started_at
            of = f', request {violation.request}' if violation.request else ''
            lines.append(f'  at {at_s:.2f} s{of}: {violation.text}')
            around = history.around(violation.at)
            lines += [f'      {_fault(history, fault)}' for fault in around]
    return lines


def _fault(history: History, fault: FaultRecord) -> str:
    began_s = fault.began_at - history.started_at
    for_s = fault.ended_at - fault.began_at
    return f'{fault.kind} {fault.target} at {began_s:.2f} s for {for_s:.2f} s'


def _requests(history: History) -> list[str]:
    """Return the number of attempts by kind and outcome."""
    outcomes: dict[str, Counter[str]] = defaultdict(Counter)
    for attempt in history.attempts:
        outcomes[attempt.kind.name.lower()][attempt.label] += 1
    lines = [f'requests: {len(history.attempts)}, arrivals: {len(history.arrivals)}']
    for kind, counts in sorted(outcomes.items()):
        shown = ', '.join(f'{name} {n}' for name, n in counts.most_common())
        lines.append(f'  {kind:<18}{shown}')
    return lines


def _streams(history: History) -> list[str]:
    """Return how many streams begin and go on while two replicas could serve them."""
    lines = ['streams, while two replicas of their version serve:']
    for where, is_calm in (('all entries', False), ('undisturbed entries', True)):
        shares = StreamShares.of_history(history, is_calm=is_calm)
        lines.append(f'  {where}: new {shares.new}, returns {shares.returns}')
    return lines


def _faults(history: History) -> list[str]:
    counts = Counter(fault.kind for fault in history.faults)
    shown = ', '.join(f'{kind} {n}' for kind, n in sorted(counts.items()))
    return [f'faults: {shown}']


def _recovery(history: History) -> list[str]:
    """Return the longest time from the end of a fault to the next success."""
    slowest: dict[str, float] = {}
    for fault in history.faults:
        if fault.kind in NOTICED_KINDS or fault.ended_at == math.inf:
            continue
        name = fault.target.removeprefix('link-')
        seconds = _success_after(history, fault.ended_at, name)
        slowest[fault.kind] = max(slowest.get(fault.kind, 0.0), seconds)
    shown = ', '.join(f'{kind} {s:.2f}' for kind, s in sorted(slowest.items()))
    return [f'seconds to the next success (at that entry, if it is one): {shown}']


def _success_after(history: History, at: float, name: str) -> float:
    ends = [
        attempt.ended_at
        for attempt in history.attempts
        if attempt.is_success
        and attempt.began_at >= at
        and (not name.startswith('entry-') or attempt.entry == name)
    ]
    return min(ends, default=math.inf) - at


def _waits(history: History) -> list[str]:
    """Return the longest waits of callers for the beginning of a response."""
    answered = [a for a in history.attempts if a.head_at < math.inf]
    answered.sort(key=lambda a: a.began_at - a.head_at)
    lines = ['longest waits for a response:']
    for attempt in answered[:WORST]:
        lines.append(
            f'  {attempt.head_at - attempt.began_at:6.2f} s  {attempt.request} '
            f'{attempt.label} at {attempt.entry}, '
            f'sent at {attempt.began_at - history.started_at:.2f} s'
        )
    return lines


def _resources(history: History) -> list[str]:
    """Return the highest memory and number of descriptors by role."""
    memory: dict[str, float] = defaultdict(float)
    descriptors: dict[str, int] = defaultdict(int)
    for usage in history.usages:
        role = usage.program.partition('-')[0]
        memory[role] = max(memory[role], usage.rss_mb)
        descriptors[role] = max(descriptors[role], usage.descriptors)
    shown = ', '.join(
        f'{role} {memory[role]:.0f} MB and {descriptors[role]} descriptors'
        for role in sorted(memory)
    )
    return [f'at most: {shown}']
