"""Legal storage effects, chosen for the state that a replica would hold."""

from __future__ import annotations

import attrs

from pistachiopath.messages.replication import Entry, Member
from pistachiopath.replication.effects import (
    AppendEntries,
    SaveSnapshot,
    SaveVote,
    TruncateFrom,
    WriteSnapshotPart,
)

MEMBERS = (Member(member='m', address='a:1'),)
KINDS = (
    'append',
    'append',
    'append',
    'new_term',
    'truncate',
    'vote',
    'snapshot',
    'parts',
    'install_beyond',
    'install_within',
    'install_at_end',
)


def entry(index, term=1, size=10):
    return Entry(index=index, term=term, kind='command', time_ms=5, command=b'x' * size)


def parts_of(index, data, *, whole=True, term=1):
    """Yield a snapshot in parts, without the last part unless `whole`.

    If the last part is missing, the folder has to write the whole snapshot.
    """
    for offset in range(0, len(data), 5)[: None if whole else -1]:
        yield WriteSnapshotPart(
            index=index,
            term=term,
            members=MEMBERS,
            offset=offset,
            data=data[offset : offset + 5],
        )
    yield SaveSnapshot(index=index, term=term, members=MEMBERS, data=data)


@attrs.define(kw_only=True)
class EffectSource:
    """What a replica holds: the snapshot's index and term, the terms behind it."""

    index: int = 0
    term: int = 0
    terms: list = attrs.Factory(list)
    newest_term: int = 1

    @property
    def last(self):
        return self.index + len(self.terms)

    @property
    def state(self):
        """Return what a folder with these records loads, without their contents."""
        entries = tuple((self.index + 1 + n, term) for n, term in enumerate(self.terms))
        return self.index, self.term, entries

    def term_at(self, index):
        return self.term if index == self.index else self.terms[index - self.index - 1]

    def effects(self, kind, number):
        """Return the effects of one event and take its step in memory."""
        return list(getattr(self, f'_{kind}')(number))

    def _append(self, number):
        count = 1 + number % 3
        new = tuple(
            entry(self.last + 1 + n, self.newest_term, number) for n in range(count)
        )
        self.terms += [self.newest_term] * count
        yield AppendEntries(entries=new)

    def _new_term(self, number):
        self.newest_term += 1
        yield SaveVote(term=self.newest_term, voted_for='m')

    def _truncate(self, number):
        if self.terms:
            kept = number % len(self.terms)
            del self.terms[kept:]
            yield TruncateFrom(index=self.index + kept + 1)

    def _vote(self, number):
        yield SaveVote(term=self.newest_term, voted_for='m' * (number % 2))

    def _snapshot(self, number):
        index = self.index + number % (len(self.terms) + 1)
        self._drop_through(index)
        yield SaveSnapshot(
            index=index, term=self.term, members=MEMBERS, data=b'%d' % number
        )

    def _parts(self, number):
        index = self.index + number % (len(self.terms) + 1)
        self._drop_through(index)
        yield from parts_of(
            index, b'state in parts', whole=number % 3 > 0, term=self.term
        )

    def _install_beyond(self, number):
        return self._install(self.last + 1 + number % 5)

    def _install_within(self, number):
        """Install a snapshot that the log contradicts: a cut-off leader's own."""
        return self._install(self.index + 1 + number % max(1, len(self.terms)))

    def _install_at_end(self, number):
        return self._install(max(1, self.last))

    def _install(self, index):
        self.newest_term += 1
        self.index, self.term, self.terms = index, self.newest_term, []
        yield SaveSnapshot(
            index=index,
            term=self.term,
            members=MEMBERS,
            data=b'installed',
            replaces_log=True,
        )

    def _drop_through(self, index):
        term = self.term_at(index)
        del self.terms[: index - self.index]
        self.index, self.term = index, term
