"""Policies that an experiment compares."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from ..routing.chooser import Chooser
from ..routing.targets import TargetTable


@attrs.define(kw_only=True, frozen=True)
class Policy:
    """A target chooser, and whether gates use priorities.

    Without `priorities` all work has the same tier, no effective deadline and
    an effectively unlimited gate window.
    """

    name: str
    make_chooser: Callable[[TargetTable, random.Random], Chooser]
    priorities: bool
