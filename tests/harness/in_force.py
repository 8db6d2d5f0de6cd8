"""Checks that what was accepted is in force everywhere in time."""

from __future__ import annotations

IN_FORCE_S = 4.0
LOOK_S = 0.1
MAX_CONTROLS_DOWN = 1


class InForceWatch:
    """Follows one accepted revision until it has to be in force.

    Messages may be lost, come twice or late, links to some control replicas
    may be cut, and one replica may be down or die meanwhile.  An entry that
    was killed, frozen or cut off from all replicas meanwhile, and all of them
    while the control replicas are cut off from each other, is not held to the
    time.
    """

    def __init__(self, *, world, revision: int):
        self._world = world
        self._revision = revision
        self._until = world.net.now + IN_FORCE_S
        self._entries = {e.name: e._life for e in world.entries.values()}
        self._look()

    def _look(self):
        if not self._is_calm():
            return
        self._entries = {
            name: life for name, life in self._entries.items() if self._is_up(name)
        }
        now = self._world.net.now
        if now < self._until:
            self._world.net.at(now + LOOK_S, self._look)
            return
        for name in self._entries:
            revision = self._world.entries[name].core.revision
            self._world.checkers.in_force_by_now(name, revision, self._revision)

    def _is_calm(self) -> bool:
        controls = self._world.controls
        if any(a in controls and b in controls for a, b in self._broken_links()):
            return False
        return len(controls) - len(self._up_controls()) <= MAX_CONTROLS_DOWN

    def _broken_links(self) -> set[tuple[str, str]]:
        return self._world.net.cuts | self._world.net.holds

    def _up_controls(self) -> list[str]:
        controls = self._world.controls.items()
        return [name for name, c in controls if c.alive and not c.frozen]

    def _is_up(self, name: str) -> bool:
        entry = self._world.entries[name]
        up = entry.alive and not entry.frozen and entry._life == self._entries[name]
        broken = self._broken_links()
        reached = [
            control
            for control in self._up_controls()
            if not {(name, control), (control, name)} & broken
        ]
        return up and bool(reached)
