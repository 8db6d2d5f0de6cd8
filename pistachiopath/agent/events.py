"""Output tokens of a run, as far as its answer shows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..gate.run import Run

EVENT_MARK = b'data: '


def count_events(run: Run) -> int:
    """Return the server-sent events of an answer so far, about one a token.

    An answer that is not streamed has none: it does not show its tokens.
    """
    return run.answer.count(EVENT_MARK)
