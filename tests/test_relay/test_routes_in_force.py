from __future__ import annotations

import json

from pistachiopath.document.packing import MARK, pack
from pistachiopath.platform.configuration import decode_configuration
from pistachiopath.relay.routes_in_force import RoutesInForce
from tests.test_platform.test_configuration import VALID

PADDING = ' ' * 5000


def content_of(version):
    return (json.dumps(VALID | {'version': version}) + PADDING).encode()


def test_packed_documents_and_those_of_older_nodes_are_put_in_force():
    routes = RoutesInForce(decode=decode_configuration)
    assert pack(content_of(7)).startswith(MARK)
    assert routes.adopt(7, pack(content_of(7))).version == 7
    assert routes.adopt(8, content_of(8)).version == 8


def test_a_document_that_cannot_be_unpacked_leaves_the_last_one_in_force():
    routes = RoutesInForce(decode=decode_configuration)
    routes.adopt(7, content_of(7))
    assert routes.adopt(8, pack(content_of(8))[:-5]) is None
    assert routes.version == 7
