"""The scenario language.

One step per line; `#` begins a comment.

    world controls=3 entries=2 targets=2 window=2
    world early_refusals=0                    entries refuse nothing at random
    at 2.0 submit r1 via e0 tier=0 once deadline=20 content=text
    at 2.1 accept o0 expected=0 content=text
    at 2.5 kill t0 | start t0 | freeze t0 | thaw t0 | depart t0
    at 2.5 lose-disk c0
    at 2.5 replace c0            kill; also lose its disk if the others are voters
    at 2.5 cut c0 t0 | cut-one-way c0 t0 | heal
    at 2.5 hold c0 t0 | release               messages are delayed until the release
    at 2.5 faults drop=0.1 duplicate=0.1 reorder=0.1
    at 2.5 leader kill | leader freeze        the current leader
    at 2.5 leader hold t0 | leader isolate    its link to t0 | to all replicas
    end 30
    expect r1 completed|unknown
    expect r1 runs 1
    expect * completed|refused:shed           all calls; a kind may have a reason
"""

from __future__ import annotations

import shlex

from .chooser import ScenarioChooser
from .world import World

NODE_STEPS = ('kill', 'start', 'freeze', 'thaw', 'depart')
SETTLE_S = 100.0


def run(text: str, seed: int = 1, chooser=ScenarioChooser) -> World:
    """Run a scenario; raise `Violation` or `AssertionError` if a check fails."""
    lines = [shlex.split(line, comments=True) for line in text.splitlines()]
    lines = [words for words in lines if words]
    options = next((w[1:] for w in lines if w[0] == 'world'), [])
    options = {k: int(v) for k, v in _options(options).items()}
    world = World(seed=seed, chooser=chooser, **options)
    end = float(next(words[1] for words in lines if words[0] == 'end'))
    for words in lines:
        if words[0] == 'at':
            world.net.at(float(words[1]), lambda w=words[2:]: _step(world, w))
    world.net.run_until(end)
    settle(world)
    for words in lines:
        if words[0] == 'expect':
            _expect(world, words[1:])
    return world


def settle(world: World):
    """End all faults, run for `SETTLE_S` more seconds and make the final checks."""
    _step(world, ['heal'])
    _step(world, ['release'])
    for node in world.nodes.values():
        if node.frozen:
            node.thaw()
        if not node.alive and node.name not in _departed(world):
            node.start()
    world.net.run_until(world.net.now + SETTLE_S)
    world.checkers.check_final_state()
    for call in world.calls:
        assert call.outcome is not None, f'a call has no outcome: {call}'


def _departed(world: World) -> set[str]:
    agents = {a.name for a in world.agents.values() if a.departed_at is not None}
    return agents | {e.name for e in world.entries.values() if e.draining}


def _options(words: list[str]) -> dict[str, str]:
    return dict(word.split('=', 1) for word in words if '=' in word)


def _step(world: World, words: list[str]):
    kind, *rest = words
    options = _options(rest)
    if kind == 'submit':
        _submit(world, rest, options)
    elif kind == 'accept':
        world.accept(rest[0], int(options['expected']), options['content'])
    elif kind == 'leader':
        for node in list(world.controls.values()):
            if node.alive and node.core.group.replica.is_leader:
                _leader_step(world, node, rest)
    elif kind in NODE_STEPS:
        _node_step(world.nodes[rest[0]], kind)
    elif kind == 'replace':
        world.replace(world.controls[rest[0]])
    elif kind == 'lose-disk':
        world.controls[rest[0]].lose_disk()
    elif kind == 'cut':
        world.net.cuts |= {(rest[0], rest[1]), (rest[1], rest[0])}
    elif kind == 'cut-one-way':
        world.net.cuts.add((rest[0], rest[1]))
    elif kind == 'hold':
        world.net.holds.add((rest[0], rest[1]))
    elif kind == 'release':
        world.net.release()
    elif kind == 'heal':
        world.net.cuts.clear()
        world.net.drop = world.net.duplicate = world.net.reorder = 0.0
    elif kind == 'faults':
        for name, value in options.items():
            setattr(world.net, name, float(value))
    else:
        raise ValueError(f'no such step: {kind}')


def _submit(world: World, rest: list[str], options: dict[str, str]):
    details = {'once': 'once' in rest}
    if 'tier' in options:
        details['tier'] = int(options['tier'])
    if 'deadline' in options:
        details['deadline_s'] = float(options['deadline'])
    if 'content' in options:
        details['content'] = options['content'].encode()
    world.submit(rest[0], rest[2], **details)


def _leader_step(world: World, leader, rest: list[str]):
    if rest[0] == 'hold':
        world.net.holds.add((leader.name, rest[1]))
    elif rest[0] == 'isolate':
        others = [name for name in world.controls if name != leader.name]
        world.net.cuts |= {(leader.name, name) for name in others}
        world.net.cuts |= {(name, leader.name) for name in others}
    else:
        _node_step(leader, rest[0])


def _node_step(node, kind: str):
    allowed = {
        'start': not node.alive,
        'kill': node.alive,
        'freeze': node.alive,
        'thaw': node.frozen,
        'depart': node.alive and not node.frozen,
    }
    if allowed[kind]:
        getattr(node, kind)()


def _expect(world: World, words: list[str]):
    request, expected, *rest = words
    if expected == 'runs':
        assert world.runs_of(request) == int(rest[0]), world.runs_of(request)
        return
    calls = [c for c in world.calls if request in ('*', c.request)]
    for call in calls if request == '*' else calls[-1:]:
        kind = getattr(call.outcome, 'kind', call.outcome)
        reason = getattr(call.outcome, 'reason', '')
        assert {str(kind), f'{kind}:{reason}'} & set(expected.split('|')), call
