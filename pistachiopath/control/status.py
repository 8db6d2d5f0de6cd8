"""Parts of a control replica's status document for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.membership import TargetView
    from ..replication.replica import Replica


def replica_document(replica: Replica) -> dict[str, object]:
    """Return role, term, commit index and members as plain data."""
    return {
        'address': replica.address,
        'role': str(replica.role),
        'caught_up': replica.is_caught_up,
        'term': replica.term,
        'leader': replica.leader,
        'commit': replica.commit,
        'members': [
            {'member': m.member, 'address': m.address, 'voter': m.voter}
            for m in replica.members
        ],
    }


def target_document(view: TargetView) -> dict[str, object]:
    """Return a live target as in its last heartbeat, as plain data."""
    report = view.report
    return {
        'target': report.target,
        'incarnation': report.incarnation,
        'address': report.address,
        'zone': report.zone,
        'models': list(report.models),
        'services': list(report.services),
        'departing': report.departing,
        'queued': report.load.queued,
        'running': report.load.running,
    }
