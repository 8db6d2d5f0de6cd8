"""States and stages of a rollout."""

from __future__ import annotations

import enum


class RolloutState(enum.StrEnum):
    """Whether a rollout goes on, and how it ended."""

    ACTIVE = 'active'
    COMPLETE = 'complete'
    ROLLED_BACK = 'rolled_back'


class RolloutStage(enum.StrEnum):
    """Stage of an active rollout.

    - CANARY: a small share of the traffic goes to a few replicas.
    - STEP: a larger share goes to all replicas of the version.
    - FULL: all new requests go there, while runs on the old versions end.
    """

    CANARY = 'canary'
    STEP = 'step'
    FULL = 'full'
