"""Compression of documents on links, in the log and on disks.

A configuration of many routes is made of much the same text again and again.
Packed, it takes a twentieth of its bytes in each queue, record and file.

>>> content = b'{"routes":[' + b'{"attempts":2},' * 1000 + b'{}]}'
>>> len(pack(content)) < len(content) // 20
True
>>> unpack(pack(content)) == content
True
"""

from __future__ import annotations

import zlib

from ..errors.configuration import InvalidConfiguration

# No text begins like this.  Documents of older nodes are not packed.
MARK = b'\x00z'
MIN_PACKED_BYTES = 1024
MAX_CONTENT_BYTES = 8 * 1024 * 1024
FAST = 1


def pack(content: bytes) -> bytes:
    """Return a document in the form that nodes store and send.

    Raises `InvalidConfiguration` if no node could unpack it.
    """
    if len(content) > MAX_CONTENT_BYTES:
        raise InvalidConfiguration(where='document', reason='too_large')
    if content.startswith(MARK):
        raise InvalidConfiguration(where='document', reason='unreadable')
    if len(content) < MIN_PACKED_BYTES:
        return content
    packed = MARK + zlib.compress(content, FAST)
    return packed if len(packed) < len(content) else content


def unpack(data: bytes) -> bytes:
    """Return the document that was packed; raises `InvalidConfiguration`."""
    if not data.startswith(MARK):
        return data
    reader = zlib.decompressobj()
    try:
        content = reader.decompress(data[len(MARK) :], MAX_CONTENT_BYTES)
    except zlib.error as exc:
        raise InvalidConfiguration(where='document', reason='unreadable') from exc
    if not reader.eof:
        raise InvalidConfiguration(where='document', reason='too_large')
    return content
