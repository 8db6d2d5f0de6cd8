"""Effects of the gate on the engine beside it."""

from __future__ import annotations

import attrs

from ..messages.claims import FinishItem
from .run import Run


@attrs.define(kw_only=True, frozen=True)
class StartRun:
    """Ask the engine; resume its stream if the answer has begun."""

    run: Run


@attrs.define(kw_only=True, frozen=True)
class StopRun:
    """Cancel the engine's stream of a run."""

    run: Run


@attrs.define(kw_only=True, frozen=True)
class RecordOutcome:
    """Report a final outcome to the control replicas."""

    item: FinishItem
