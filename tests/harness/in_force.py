"""Checks that what was accepted is in force everywhere in time."""

from __future__ import annotations

IN_FORCE_S = 4.0
LOOK_S = 0.1
MAX_CONTROLS_DOWN = 1


class InForceWatch:
    """Follows one accepted revision until it has to be in force.

    Messages may come twice or late, and one control replica may be down or
    die meanwhile.  An entry that was killed, frozen or cut off meanwhile, and
    all of them while the control replicas are, is not held to the time.
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
        net = self._world.net
        if net.cuts or net.holds or net.drop:
            return False
        controls = self._world.controls.values()
        down = sum(not c.alive or c.frozen for c in controls)
        return down <= MAX_CONTROLS_DOWN

    def _is_up(self, name: str) -> bool:
        entry = self._world.entries[name]
        return entry.alive and not entry.frozen and entry._life == self._entries[name]
