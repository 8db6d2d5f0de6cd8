from __future__ import annotations

from tools.soak.program import Program

LOG = """\
at=1 level=info msg=starting
Traceback (most recent call last):
  File "a.py", line 1, in run
    raise OverflowError('too large')
OverflowError: too large
2026-01-01 <Greenlet at 0x1: run> failed with OverflowError

at=2 level=info msg="Traceback (most recent call last): of a handled one"
Traceback (most recent call last):
  File "a.py", line 1, in run
at=3 level=info msg=starting
"""


def test_uncaught_errors_are_read_from_the_log(tmp_path):
    (tmp_path / 'control-1.log').write_text(LOG)
    program = Program(
        name='control-1', role='control', settings={}, folder=tmp_path, guard=None
    )
    (error,) = program.uncaught_errors()
    assert error.text == 'OverflowError: too large'


def test_an_event_loop_that_stands_still_is_an_error(tmp_path):
    # A replica that wrote without end stopped an entry, which no soak noticed.
    line = 'at=4 level=error msg=hub_stalled stalled_ms=1200 frames="a.py:1:read"\n'
    (tmp_path / 'entry-1.log').write_text(LOG.splitlines()[0] + '\n' + line)
    program = Program(
        name='entry-1', role='entry', settings={}, folder=tmp_path, guard=None
    )
    (error,) = program.uncaught_errors()
    assert error.text == 'hub_stalled "a.py:1:read"'
