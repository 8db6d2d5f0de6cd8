"""Effects of the gate that its agent carries out."""

from __future__ import annotations

import attrs

from ..messages.claims import FinishItem
from .run import Run


@attrs.define(kw_only=True, frozen=True)
class StartRun:
    """Send the request to the engine, or resume its stream if an answer has begun."""

    run: Run


@attrs.define(kw_only=True, frozen=True)
class StopRun:
    """Cancel the engine's stream for a run."""

    run: Run


@attrs.define(kw_only=True, frozen=True)
class RecordOutcome:
    """Report a final outcome to the control replicas."""

    item: FinishItem
