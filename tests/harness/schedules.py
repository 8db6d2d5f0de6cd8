"""Random scenarios from a seed, in the scenario language."""

from __future__ import annotations

import random

END_S = 25.0
WARM_UP_S = 3.0
LATE_ORDERS_SHARE = 0.25


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
    return '\n'.join(steps) + '\n'


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
    """A leader's orders are on their way while another one replaces it."""
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
