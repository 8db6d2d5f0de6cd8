"""State of a control replica on a VM without a disk."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from ..replication.persisted import Persisted

if TYPE_CHECKING:
    from ..replication.effects import StorageEffect


class MemoryFolder:
    """Stands in for `DataFolder` where nothing can be stored.

    The replica itself keeps its log and snapshot while its process runs.  Each
    load is of a new, empty folder.
    """

    def load(self) -> Persisted:
        """Return the state of an empty folder with a new identity."""
        return Persisted(member=uuid.uuid4().hex)

    def write(self, effect: StorageEffect) -> None:
        """Ignore a storage effect."""

    def sync(self) -> bool:
        """Return whether there were writes: never."""
        return False

    def close(self) -> None:
        """Do nothing."""
