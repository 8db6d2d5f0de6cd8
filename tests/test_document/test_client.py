"""When a control node sends a put to the leader again."""

from __future__ import annotations

import pytest

from pistachiopath.document.client import DocumentClient
from pistachiopath.messages.document import PutDocument

LARGE = bytes(500_000)


@pytest.fixture
def client():
    return DocumentClient(leader=lambda: 'c1')


def test_a_large_put_is_not_sent_again_while_it_is_on_its_way(client):
    # Regression: a put of 0.5 MB was sent again each 0.3 s on a link that it filled.
    client.ask(PutDocument(version=1, content=LARGE))
    assert len(client.due(0.0)) == 1
    assert client.due(2.0) == []
    assert len(client.due(2.4)) == 1


def test_a_put_is_sent_again_at_once_if_its_link_is_lost(client):
    client.ask(PutDocument(version=1, content=LARGE))
    client.due(0.0)
    client.link_lost('c2')
    assert client.due(0.1) == []
    client.link_lost('c1')
    assert len(client.due(0.1)) == 1


def test_a_small_put_is_sent_again_soon(client):
    client.ask(PutDocument(version=1, content=b'small'))
    client.due(0.0)
    assert client.due(0.29) == []
    assert len(client.due(0.31)) == 1
