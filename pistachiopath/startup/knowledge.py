"""What an entry has learned since its start, and when."""

from __future__ import annotations

import enum

# A few periods of announcements and the start of an engine.  An entry that knows no
# replica for longer is not just starting.
STARTUP_S = 5.0


class Subject(enum.StrEnum):
    """What an entry needs to know in order to serve requests."""

    CONFIGURATION = 'configuration'
    REPLICA = 'replica'
    GATE = 'gate'
    ALLOWANCE = 'allowance'


class StartupKnowledge:
    """Records when each subject, of each service if it has one, was first known.

    `now` is a monotonic clock in seconds.

    >>> knowledge = StartupKnowledge(started_at=10.0)
    >>> knowledge.learn(Subject.REPLICA, 11.0, service='a')
    True
    >>> knowledge.learn(Subject.REPLICA, 12.0, service='a')
    False
    >>> knowledge.known_after_ms(Subject.REPLICA, service='a')
    1000
    """

    def __init__(self, *, started_at: float) -> None:
        self._started_at = started_at
        self._known_at: dict[tuple[Subject, str], float] = {}

    def is_starting(self, now: float) -> bool:
        """Return whether the process started within `STARTUP_S`."""
        return now - self._started_at < STARTUP_S

    def knows(self, subject: Subject, *, service: str = '') -> bool:
        """Return whether a subject has been known since the start."""
        return (subject, service) in self._known_at

    def learn(self, subject: Subject, now: float, *, service: str = '') -> bool:
        """Record that a subject is known; return whether it was not before."""
        if self.knows(subject, service=service):
            return False
        self._known_at[(subject, service)] = now
        return True

    def known_after_ms(self, subject: Subject, *, service: str = '') -> int:
        """Return after how long a subject was known, -1 if it is not."""
        known_at = self._known_at.get((subject, service))
        return -1 if known_at is None else int((known_at - self._started_at) * 1000)

    def awaits_replica(self, service: str, now: float) -> bool:
        """Return whether the first replica of a service is still to be expected."""
        return self.is_starting(now) and not self.knows(
            Subject.REPLICA, service=service
        )
