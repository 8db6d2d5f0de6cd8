"""Random scenarios in the scenario language, generated from a seed."""

from __future__ import annotations

import random

END_S = 25.0
WARM_UP_S = 3.0
LATE_ORDERS_SHARE = 0.25
PLANNED_STOP_SHARE = 0.4
CALM_END_S = 40.0
CALM_EVENT_S = 8.0


def schedule(seed: int) -> str:
    """Return the text of a scenario with requests, operators and faults."""
    rng = random.Random(f'schedule {seed}')
    targets = rng.randint(2, 3)
    steps = [f'world controls=3 entries=2 targets={targets} window=2', f'end {END_S}']
    steps += _requests(rng)
    steps += _operators(rng)
    for _ in range(rng.randint(1, 4)):
        steps += _fault(rng, targets)
    if rng.random() < 0.6:
        values = ' '.join(
            f'{name}={rng.choice((0, 0.02, 0.1))}'
            for name in ('drop', 'duplicate', 'reorder')
        )
        steps.append(f'at {_time(rng)} faults {values}')
    if rng.random() < LATE_ORDERS_SHARE:
        steps += _late_orders(rng, targets)
    if rng.random() < PLANNED_STOP_SHARE:
        steps += _planned_stop(rng, targets)
    return '\n'.join(steps) + '\n'


def calm_schedule(seed: int) -> str:
    """Return a scenario with only planned stops and killed control replicas.

    These faults only delay requests: a call completes, is refused or loses an
    answer that another call of the same request gets.  No outcome is unknown.
    """
    rng = random.Random(f'calm {seed}')
    targets = rng.randint(2, 3)
    steps = [
        f'world controls=3 entries=2 targets={targets} window={rng.randint(1, 2)} '
        f'early_refusals=0',
        f'end {CALM_END_S}',
        'expect * completed|refused|turned_away|failed:answer_lost',
    ]
    for number in range(rng.randint(10, 30)):
        at = _time(rng, high=CALM_END_S - 5)
        once = ' once' if rng.random() < 0.3 else ''
        options = f'tier={rng.randint(0, 2)} deadline=120{once}'
        for delay_s in (0.0, rng.choice((0.0, 0.5, 3.0)))[: rng.randint(1, 2)]:
            entry = f'e{rng.randint(0, 1)}'
            steps.append(
                f'at {round(at + delay_s, 2)} submit r{number} via {entry} {options}'
            )
    earliest = WARM_UP_S
    while earliest < CALM_END_S - CALM_EVENT_S:
        steps += _calm_event(rng, targets, earliest)
        earliest += CALM_EVENT_S
    return '\n'.join(steps) + '\n'


def _calm_event(rng: random.Random, targets: int, earliest: float) -> list[str]:
    """Return a planned stop or a killed control replica, each with its restart.

    A target's planned stop and a killed leader may also occur together, and
    so may an entry's planned stop and any killed control replica.
    """
    at = _time(rng, earliest, earliest + 1.0)
    restart_at = round(at + rng.uniform(1.0, CALM_EVENT_S - 2.0), 2)
    kind = rng.choice(('target', 'target', 'entry', 'leader', 'both'))
    target = f't{rng.randrange(targets)}'
    entry = f'e{rng.randint(0, 1)}'
    control = f'c{rng.randint(0, 2)}'
    steps = []
    if kind in ('target', 'both'):
        steps += [f'at {at} depart {target}', f'at {restart_at} start {target}']
    if kind == 'entry':
        steps += [f'at {at} depart {entry}', f'at {restart_at} start {entry}']
    if kind in ('leader', 'both'):
        steps += [f'at {at} leader kill']
        steps += [f'at {restart_at} start c{n}' for n in range(3)]
    if kind == 'entry' and rng.random() < 0.5:
        steps += [f'at {at} kill {control}', f'at {restart_at} start {control}']
    return steps


def _time(rng: random.Random, low: float = WARM_UP_S, high: float = END_S) -> float:
    return round(rng.uniform(low, high), 2)


def _requests(rng: random.Random) -> list[str]:
    steps = []
    for number in range(rng.randint(5, 25)):
        at = _time(rng, high=END_S - 5)
        once = ' once' if rng.random() < 0.3 else ''
        poison = ' content=poison' if rng.random() < 0.08 else ''
        options = f'tier={rng.randint(0, 2)} deadline={rng.choice((2, 5, 20))}'
        steps.append(
            f'at {at} submit r{number} via e{rng.randint(0, 1)} {options}{once}{poison}'
        )
        for _ in range(rng.choice((0, 0, 1, 2))):
            again = round(at + rng.choice((0.0, 0.01, 0.5, 3.0, 8.0)), 2)
            steps.append(
                f'at {again} submit r{number} via e{rng.randint(0, 1)} '
                f'{options}{once}{poison}'
            )
    return steps


def _operators(rng: random.Random) -> list[str]:
    steps = []
    for revision in range(rng.randint(0, 3)):
        at = _time(rng)
        for operator in ('o0', 'o1'):
            steps.append(
                f'at {at} accept {operator} expected={revision} '
                f'content={operator}-{revision}'
            )
    return steps


def _late_orders(rng: random.Random, targets: int) -> list[str]:
    """Hold a leader's orders back until another leader has replaced it."""
    at = _time(rng, high=END_S - 10)
    replaced = round(at + rng.uniform(0.5, 2.0), 2)
    released = round(replaced + rng.uniform(2.0, 8.0), 2)
    accept = f'accept o0 expected={rng.randint(0, 3)} content=late'
    return [
        f'at {at} {accept}',
        f'at {at} leader hold t{rng.randrange(targets)}',
        f'at {replaced} leader {rng.choice(("isolate", "freeze", "kill"))}',
        f'at {round(replaced + 1.5, 2)} {accept}er',
        f'at {released} heal',
        f'at {released} release',
    ]


def _planned_stop(rng: random.Random, targets: int) -> list[str]:
    """Stop a target or an entry as planned, at any time, and restart it."""
    at = _time(rng)
    node = rng.choice(['e0', 'e1', *(f't{n}' for n in range(targets))])
    until = round(at + rng.choice((2.0, 5.0, 12.0)), 2)
    return [f'at {at} depart {node}', f'at {until} start {node}']


def _fault(rng: random.Random, targets: int) -> list[str]:
    at = _time(rng)
    until = round(at + rng.choice((0.5, 2.0, 5.0, 12.0)), 2)
    node = rng.choice(
        ['c0', 'c1', 'c2', 'e0', 'e1', *(f't{n}' for n in range(targets))]
    )
    other = rng.choice(['c0', 'c1', 'c2', 'e0', 'e1', 't0', 't1'])
    kind = rng.choice(
        ('kill', 'kill', 'freeze', 'cut', 'one-way', 'isolate', 'leader', 'disk')
    )
    if kind == 'kill':
        return [f'at {at} kill {node}', f'at {until} start {node}']
    if kind == 'freeze':
        return [f'at {at} freeze {node}', f'at {until} thaw {node}']
    if kind == 'cut':
        return [f'at {at} cut {node} {other}', f'at {until} heal']
    if kind == 'one-way':
        return [f'at {at} cut-one-way {node} {other}', f'at {until} heal']
    if kind == 'isolate':
        others = ('c0', 'c1', 'c2', 'e0', 'e1', 't0', 't1')
        cuts = [f'at {at} cut {node} {name}' for name in others if name != node]
        return [*cuts, f'at {until} heal']
    if kind == 'leader':
        return [f'at {at} leader {rng.choice(("kill", "freeze"))}']
    lost = f'c{rng.randint(0, 2)}'
    return [
        f'at {at} replace {lost}',
        f'at {until} start {lost}',
    ]
