from __future__ import annotations

import gevent
import gevent.event

from pistachiopath.relay.hedge import Hedge


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
    gevent.sleep(0.01)
    assert released == ['place']
