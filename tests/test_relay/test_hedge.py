from __future__ import annotations

import gevent
import gevent.event

from pistachiopath.relay import hedge as hedge_module
from pistachiopath.relay.hedge import Hedge
from tests.harness.waiting import wait_until


def test_a_search_that_fails_unexpectedly_is_repeated(monkeypatch):
    monkeypatch.setattr(hedge_module, 'SEARCH_INTERVAL_S', 0.01)
    results = [ValueError('odd'), 'place']

    def search():
        result = results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    hedge = Hedge(search=search, release=lambda found: None)
    wait_until(lambda: hedge.has_found)
    assert hedge.take() == 'place'


def test_a_place_found_while_the_caller_leaves_is_released():
    granted = gevent.event.Event()
    released = []

    def search():
        granted.wait()
        return 'place'

    def serve(hedge):
        gevent.sleep(0.01)
        gevent.kill(gevent.getcurrent())
        granted.set()
        hedge.close()

    hedge = Hedge(search=search, release=released.append)
    gevent.spawn(serve, hedge).join()
    wait_until(lambda: released)
    assert released == ['place']
