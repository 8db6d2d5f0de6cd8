"""Injected failures of methods."""

from __future__ import annotations


class Injected(Exception):
    """An error that the code under test does not expect."""


class FailingMethod:
    """A method of an object that raises `Injected` in its first `times` calls."""

    def __init__(self, obj, name, *, times=1):
        self.calls = 0
        self._times = times
        self._original = getattr(obj, name)
        setattr(obj, name, self._call)

    @property
    def failed(self):
        return min(self.calls, self._times)

    def _call(self, *args, **kwargs):
        self.calls += 1
        if self.calls <= self._times:
            raise Injected
        return self._original(*args, **kwargs)
