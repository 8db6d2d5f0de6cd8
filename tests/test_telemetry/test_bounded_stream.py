from __future__ import annotations

import os

from pistachiopath.telemetry.bounded_stream import MAX_LINE_BYTES, BoundedStream


def test_stalled_reader_loses_lines_without_blocking_the_writer():
    reader, writer = os.pipe()
    stream = BoundedStream(fd=writer)
    line = 'x' * 1000 + '\n'
    for _ in range(1000):
        stream.write(line)
    assert stream.dropped > 0
    lost = stream.dropped
    while len(os.read(reader, 65536)) == 65536:
        pass
    stream.write('again\n')
    assert stream.dropped == 0
    assert os.read(reader, 65536) == f'msg=log_dropped lines={lost}\nagain\n'.encode()


def test_line_over_the_limit_is_truncated():
    reader, writer = os.pipe()
    BoundedStream(fd=writer).write('y' * 10_000 + '\n')
    data = os.read(reader, 65536)
    assert len(data) == MAX_LINE_BYTES
    assert data.endswith(b'\n')
