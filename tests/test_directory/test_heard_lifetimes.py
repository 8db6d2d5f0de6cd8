from __future__ import annotations

import math

from pistachiopath.directory.announcer import Announcer
from pistachiopath.directory.directory import Directory
from pistachiopath.directory.heard_lifetimes import RETENTION_S, HeardLifetimes
from pistachiopath.messages.directory import UNHEARD_MS, Announcements, Follow

from .records import record


def ages(heard, replica, now):
    found = heard.find([replica], now, quiet_since=lambda replica: 0.0)
    return {h.born_ms: h.age_ms for h in found}


def test_the_time_of_a_lifetime_is_that_of_a_later_one():
    heard = HeardLifetimes()
    heard.heard(record(replica='r1', born_ms=1), 1.0, 1.0)
    heard.heard(record(replica='r1', born_ms=2), 4.0, 4.0)
    assert ages(heard, 'r1', 5.0) == {1: 4001, 2: 1001}
    heard.heard(record(replica='r1', born_ms=2), 5.0, 5.0)
    heard.prune(Directory(), 3.9 + RETENTION_S)
    assert ages(heard, 'r1', 5.0) == {1: 4001, 2: 1}
    heard.prune(Directory(), 4.0 + RETENTION_S)
    assert ages(heard, 'r1', 5.0) == {2: 1}


def test_an_announcement_that_waited_for_an_unknown_time_counts():
    heard = HeardLifetimes()
    heard.heard(record(replica='r1'), -math.inf, 1.0)
    assert ages(heard, 'r1', 5.0) == {}


def reply(announcer, asked, now):
    follow = Follow(version=0, feed=0, since=0, is_entry=True, asked=(asked,))
    return announcer.follow('entry', follow, now, call=7)[0]


def test_announcements_that_others_forward_count_as_heard():
    announcer = Announcer(address='c', feed=1, silent_after_s=5.0, now=0.0)
    announcer.merge_announcements(Announcements(records=(record(replica='r1'),)), 1.0)
    [forwarded] = reply(announcer, 'r1', 2.0).body.heard
    assert forwarded.age_ms == UNHEARD_MS
    announcer.announce(record(replica='r1', sequence=2), 3.0, sent_after=2.9)
    sent = reply(announcer, 'r1', 4.0)
    assert sent.call == 7
    assert [h.age_ms for h in sent.body.heard] == [1101]


def test_news_that_nobody_asked_for_count_as_an_answer():
    announcer = Announcer(address='c', feed=1, silent_after_s=5.0, now=0.0)
    reply(announcer, 'r1', 1.0)
    [pushed] = [
        s for s in announcer.announce(record(replica='r1'), 1.1) if s.to == 'entry'
    ]
    assert pushed.call == 0
