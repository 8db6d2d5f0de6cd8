"""Random faults that a group of control nodes has to tolerate."""

from __future__ import annotations

import attrs

from pistachiopath.document.timing import DOCUMENT_TIMING

from .document_world import DocumentWorld

SEEDS = ('c0', 'c1', 'c2')
ROUNDS = 14
OTHERS = ('c3', 'c4', 'c5')
# Each record and snapshot takes several parts.
MANY_PARTS = attrs.evolve(DOCUMENT_TIMING, part_bytes=16, window_bytes=64)


def inject_fault(world, rng, down):
    """Inject one tolerated fault, or repair the present ones.

    `down` holds the names of the stopped nodes.  Returns the seconds to wait.
    """
    names = tuple(world.nodes)
    kind = rng.choice(['kill', 'power', 'wipe', 'cut', 'heal', 'all', 'cut under load'])
    if kind == 'heal' or down:
        for name in sorted(down):
            world.nodes[name].start()
            down.discard(name)
        world.net.cuts = set()
        return 4.0
    if kind in ('kill', 'power', 'wipe'):
        for name in draw_losses(world, rng):
            world.nodes[name].kill(power=kind != 'kill')
            if kind == 'wipe':
                world.nodes[name].lose_disk()
            down.add(name)
        if kind == 'wipe' and world.tolerated > 1 and rng.random() < 0.5:
            lose_power(world, down)
        return rng.uniform(0.0, 3.0)
    if kind == 'all':
        for name in names:
            world.nodes[name].kill(power=True)
            down.add(name)
        return rng.uniform(0.0, 1.0)
    name = rng.choice(names)
    for other in names:
        if other != name:
            world.net.cuts |= {(name, other), (other, name)}
    if kind == 'cut under load':
        put_and_read_everywhere(world, rng)
    return rng.uniform(0.0, 4.0)


def draw_losses(world, rng):
    """Return the names of as many nodes as may be lost at once."""
    names = tuple(world.nodes)
    if world.tolerated == 1:
        return [rng.choice(names)]
    return rng.sample(names, world.tolerated)


def lose_power(world, down):
    """Stop all nodes that run; their disks keep what was synced."""
    for name, node in world.nodes.items():
        if name not in down:
            node.kill(power=True)
            down.add(name)


def put_and_read_everywhere(world, rng):
    """Put, and read at all nodes, while an isolated leader may still lead."""
    for _ in range(rng.randrange(5, 15)):
        world.run(0.1)
        world.put()
        for name in world.nodes:
            world.read(name)


def run_random_faults(seed, *, others=(), tolerated=1, timing=DOCUMENT_TIMING):
    """Put and read among faults; check that no acknowledged version is lost."""
    world = DocumentWorld(seed=seed, others=others, tolerated=tolerated, timing=timing)
    world.run(3.0 if tolerated == 1 else 6.0)
    rng = world.rng
    down = set()
    for _ in range(ROUNDS):
        for _ in range(rng.randrange(4)):
            world.put(rng.choice([None, *world.nodes]))
            world.read(rng.choice([None, *world.nodes]))
            world.run(rng.choice([0.0, 0.003, 0.1]))
        world.run(inject_fault(world, rng, down))
    for name in sorted(down):
        world.nodes[name].start()
    world.net.cuts = set()
    world.run(5.0)
    reads = world.reads
    world.read()
    world.run(1.0)
    assert world.reads == reads + 1, 'the last read was not answered'
    assert world.leader().core.version >= world.acked, (
        'an acknowledged version was lost'
    )
