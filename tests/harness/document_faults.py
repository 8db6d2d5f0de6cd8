"""Random faults that a group of control nodes has to tolerate."""

from __future__ import annotations

from .document_world import DocumentWorld

SEEDS = ('c0', 'c1', 'c2')
ROUNDS = 14


def inject_fault(world, rng, down):
    """Inject one tolerated fault, or repair the present ones.

    `down` holds the names of the stopped nodes.  Returns the seconds to wait.
    """
    kind = rng.choice(['kill', 'power', 'wipe', 'cut', 'heal', 'all', 'cut under load'])
    if kind == 'heal' or down:
        for name in list(down):
            world.nodes[name].start()
            down.discard(name)
        world.net.cuts = set()
        return 4.0
    if kind in ('kill', 'power', 'wipe'):
        name = rng.choice(SEEDS)
        world.nodes[name].kill(power=kind != 'kill')
        if kind == 'wipe':
            world.nodes[name].lose_disk()
        down.add(name)
        return rng.uniform(0.0, 3.0)
    if kind == 'all':
        for name in SEEDS:
            world.nodes[name].kill(power=True)
            down.add(name)
        return rng.uniform(0.0, 1.0)
    name = rng.choice(SEEDS)
    for other in SEEDS:
        if other != name:
            world.net.cuts |= {(name, other), (other, name)}
    if kind == 'cut under load':
        put_and_read_everywhere(world, rng)
    return rng.uniform(0.0, 4.0)


def put_and_read_everywhere(world, rng):
    """Put, and read at all nodes, while an isolated leader may still lead."""
    for _ in range(rng.randrange(5, 15)):
        world.run(0.1)
        world.put()
        for name in SEEDS:
            world.read(name)


def run_random_faults(seed):
    """Put and read among faults; check that no acknowledged version is lost."""
    world = DocumentWorld(seed=seed)
    world.run(3.0)
    rng = world.rng
    down = set()
    for _ in range(ROUNDS):
        for _ in range(rng.randrange(4)):
            world.put(rng.choice([None, *SEEDS]))
            world.read(rng.choice([None, *SEEDS]))
            world.run(rng.choice([0.0, 0.003, 0.1]))
        world.run(inject_fault(world, rng, down))
    for name in down:
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
