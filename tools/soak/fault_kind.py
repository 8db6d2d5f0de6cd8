"""Kinds of faults."""

from __future__ import annotations

import enum


class FaultKind(enum.StrEnum):
    """What is done to a program, a link, a replica or the configuration.

    Each kind has a group of targets, and its shortest and longest duration in
    seconds.
    """

    ENTRY_KILLED = 'entry_killed', 'entry', 0.3, 2.0
    ENTRY_PAUSED = 'entry_paused', 'entry', 0.5, 3.0
    ENTRY_STOPPED = 'entry_stopped', 'entry', 0.5, 1.0
    CONTROL_KILLED = 'control_killed', 'control', 0.3, 2.0
    CONTROL_PAUSED = 'control_paused', 'control', 0.5, 4.0
    CONTROL_STOPPED = 'control_stopped', 'control', 0.3, 1.0
    CORE_KILLED = 'core_killed', '', 0.3, 1.0
    CORE_CUT = 'core_cut', 'control', 1.0, 4.0
    STORAGE_SLOW = 'storage_slow', 'control', 0.5, 3.0
    STORAGE_FULL = 'storage_full', 'control', 0.3, 2.0
    CLOCK_STEPPED = 'clock_stepped', 'program', 1.0, 4.0
    AGENT_KILLED = 'agent_killed', 'agent', 0.3, 2.0
    AGENT_PAUSED = 'agent_paused', 'agent', 0.5, 3.0
    SEEDS_LOST = 'seeds_lost', '', 1.5, 4.0
    SETTINGS_CHANGED = 'settings_changed', 'settings', 0.0, 0.0

    LINK_DELAYED = 'link_delayed', 'link', 1.0, 4.0
    LINK_RESET = 'link_reset', 'link', 0.0, 0.0
    LINK_ONE_WAY = 'link_one_way', 'link', 0.5, 3.0
    LINK_SILENT = 'link_silent', 'link', 0.5, 3.0

    CONFIGURATION_CHANGED = 'configuration_changed', '', 0.0, 0.0
    CONFIGURATION_INVALID = 'configuration_invalid', '', 0.0, 0.0

    REPLICA_CRASHED = 'replica_crashed', 'replica', 0.5, 3.0
    REPLICA_LEAVES = 'replica_leaves', 'replica', 2.5, 4.0
    REPLICA_DELETES_ITSELF = 'replica_deletes_itself', 'replica', 2.5, 4.0
    REPLICA_LEAVES_UNSAID = 'replica_leaves_unsaid', 'replica', 4.0, 6.0
    REPLICA_BACKOFF = 'replica_backoff', 'replica or service', 1.0, 3.0
    REPLICA_SLOW = 'replica_slow', 'replica or service', 1.0, 5.0
    REPLICA_CUTS_STREAMS = 'replica_cuts_streams', 'engine', 1.0, 3.0
    REPLICA_GARBLED = 'replica_garbled', 'replica', 0.5, 2.0
    REPLICA_REFUSES_TWICE = 'replica_refuses_twice', 'replica', 0.5, 2.0
    REPLICA_FAILS = 'replica_fails', 'replica', 0.5, 2.0
    REPLICA_LEAVES_FALSELY = 'replica_leaves_falsely', 'replica', 4.0, 6.0
    REPLICA_SILENT = 'replica_silent', 'replica or service', 2.0, 4.0
    RELEASE = 'release', 'engines', 1.0, 3.0
    RELEASE_IN_PAUSE = 'release_in_pause', 'engines', 4.0, 6.0
    RELEASE_UNREPORTED = 'release_unreported', 'engines', 5.0, 7.0
    ODD_ANNOUNCEMENTS = 'odd_announcements', '', 1.0, 2.0

    # Not planned; the soak notices them.
    PROGRAM_STARVED = 'program_starved', '', 0.0, 0.0
    SOAK_LATE = 'soak_late', '', 0.0, 0.0

    def __new__(cls, name: str, group: str, min_s: float, max_s: float) -> FaultKind:
        """Return a kind whose value is its name."""
        kind = str.__new__(cls, name)
        kind._value_ = name
        kind.group = group
        kind.durations_s = (min_s, max_s)
        return kind


# Faults that the programs are known not to bear yet.  They are planned only if they
# are asked for; a kind that is borne is taken out of this set.
OPEN_KINDS: frozenset[FaultKind] = frozenset()
NOTICED_KINDS = frozenset({FaultKind.PROGRAM_STARVED, FaultKind.SOAK_LATE})
PLANNED_KINDS = frozenset(FaultKind) - NOTICED_KINDS
USUAL_KINDS = PLANNED_KINDS - OPEN_KINDS
# Work of the operator that disturbs nothing by itself.
PLANNED_WORK = frozenset(
    {
        FaultKind.ENTRY_STOPPED,
        FaultKind.SETTINGS_CHANGED,
        FaultKind.CONFIGURATION_CHANGED,
        FaultKind.CONFIGURATION_INVALID,
    }
)
# While one of these takes place, no other fault restarts a replica.
RELEASE_KINDS = frozenset(
    {
        FaultKind.RELEASE,
        FaultKind.RELEASE_IN_PAUSE,
        FaultKind.RELEASE_UNREPORTED,
    }
)
# These restart all replicas of a service, so one follows the other.
WHOLE_RELEASES = frozenset({FaultKind.RELEASE_IN_PAUSE, FaultKind.RELEASE_UNREPORTED})
# Of these at most one takes place at a time.
CORE_KINDS = frozenset(
    {
        FaultKind.CONTROL_KILLED,
        FaultKind.CONTROL_PAUSED,
        FaultKind.CONTROL_STOPPED,
        FaultKind.CORE_KILLED,
        FaultKind.CORE_CUT,
        FaultKind.STORAGE_SLOW,
        FaultKind.STORAGE_FULL,
    }
)
