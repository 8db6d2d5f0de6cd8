"""Checks that an accepted revision is in force at all entries in time."""

from __future__ import annotations

IN_FORCE_S = 4.0
CHECK_INTERVAL_S = 0.1
MAX_CONTROLS_DOWN = 1


class InForceWatch:
    """Follows one accepted revision until its deadline.

    Messages may be lost, duplicated or delayed, links to some control replicas
    may be cut, and one replica may be down or killed before the deadline.  The
    deadline is waived for an entry that was killed, frozen or cut off from all
    replicas in that time, and for all entries if control replicas were cut off
    from each other or more than one was down.
    """

    def __init__(self, *, world, revision: int):
        self._world = world
        self._revision = revision
        self._deadline = world.net.now + IN_FORCE_S
        self._entries = {e.name: e._generation for e in world.entries.values()}
        self._check()

    def _check(self):
        if not self._is_group_healthy():
            return
        self._entries = {
            name: generation
            for name, generation in self._entries.items()
            if self._is_up(name)
        }
        now = self._world.net.now
        if now < self._deadline:
            self._world.net.at(now + CHECK_INTERVAL_S, self._check)
            return
        for name in self._entries:
            revision = self._world.entries[name].core.revision
            self._world.checkers.check_in_force(name, revision, self._revision)

    def _is_group_healthy(self) -> bool:
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
        up = (
            entry.alive
            and not entry.frozen
            and entry._generation == self._entries[name]
        )
        broken = self._broken_links()
        reachable = [
            control
            for control in self._up_controls()
            if not {(name, control), (control, name)} & broken
        ]
        return up and bool(reachable)
