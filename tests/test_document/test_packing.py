from __future__ import annotations

import random
import zlib

import pytest

from pistachiopath.document.packing import (
    MARK,
    MAX_CONTENT_BYTES,
    MIN_PACKED_BYTES,
    pack,
    unpack,
)
from pistachiopath.errors.configuration import InvalidConfiguration
from tests.harness.documents import document

MANY_ROUTES = 1063


def test_a_configuration_of_many_routes_takes_a_tenth_of_its_bytes():
    # Regression: thirty versions of 0.36 MB in 6 s were late by 4 s on slow links.
    content = document(MANY_ROUTES)
    packed = pack(content)
    assert len(packed) < len(content) / 10
    assert unpack(packed) == content


@pytest.mark.parametrize('size', [0, 1, MIN_PACKED_BYTES - 1])
def test_a_small_document_stays_as_it_is(size):
    content = b'{' * size
    assert pack(content) == content
    assert unpack(content) == content


def test_what_does_not_get_smaller_stays_as_it_is():
    content = random.Random(1).randbytes(10_000)
    assert pack(content) == content


def test_a_document_of_a_node_that_does_not_pack_is_read_as_it_is():
    content = document(MANY_ROUTES)
    assert unpack(content) == content


def test_the_largest_document_can_be_unpacked():
    content = b' ' * MAX_CONTENT_BYTES
    assert unpack(pack(content)) == content


@pytest.mark.parametrize('content', [b' ' * (MAX_CONTENT_BYTES + 1), MARK + b'x'])
def test_a_document_that_no_node_could_read_is_refused(content):
    with pytest.raises(InvalidConfiguration):
        pack(content)


@pytest.mark.parametrize(
    'data',
    [
        MARK,
        MARK + b'not packed',
        pack(document(MANY_ROUTES))[:-5],
        MARK + zlib.compress(b' ' * (MAX_CONTENT_BYTES + 1)),
    ],
    ids=['nothing', 'unreadable', 'torn', 'too large'],
)
def test_what_cannot_be_unpacked_is_refused_without_using_much_memory(data):
    with pytest.raises(InvalidConfiguration):
        unpack(data)
