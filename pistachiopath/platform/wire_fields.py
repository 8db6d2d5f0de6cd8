"""Type-checked access to the fields of decoded JSON."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..errors.configuration import InvalidConfiguration

if TYPE_CHECKING:
    from collections.abc import Mapping


class WireFields:
    """Reads typed fields of one JSON object; raises `InvalidConfiguration`.

    Unknown fields are ignored, because newer writers may add some.
    """

    def __init__(self, *, data: object, where: str) -> None:
        if not isinstance(data, dict):
            raise InvalidConfiguration(where=where, reason='not_an_object')
        self.where = where
        self._data: Mapping[str, object] = data

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._data.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string."""
        value = self._value(name, default)
        if not isinstance(value, str):
            raise self._wrong_type(name)
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number."""
        value = self._value(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise self._wrong_type(name)
        if not math.isfinite(value):
            raise self._wrong_type(name)
        return value

    def integer(self, name: str, default: int | None = None) -> int:
        """Return an integer."""
        value = self._value(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            raise self._wrong_type(name)
        return value

    def boolean(self, name: str, default: bool = False) -> bool:
        """Return a boolean."""
        value = self._value(name, default)
        if not isinstance(value, bool):
            raise self._wrong_type(name)
        return value

    def object(self, name: str) -> WireFields:
        """Return an object."""
        return WireFields(data=self._data.get(name), where=f'{self.where}.{name}')

    def objects(self, name: str) -> list[WireFields]:
        """Return a list of objects, empty if the field is missing or null."""
        value = self._data.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self._wrong_type(name)
        return [
            WireFields(data=item, where=f'{self.where}.{name}[{position}]')
            for position, item in enumerate(value)
        ]

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of strings, empty if the field is missing."""
        value = self._data.get(name, [])
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            raise self._wrong_type(name)
        return tuple(value)

    def _value(self, name: str, default: object) -> object:
        value = self._data.get(name)
        if value is not None:
            return value
        if default is None:
            raise InvalidConfiguration(where=f'{self.where}.{name}', reason='missing')
        return default

    def _wrong_type(self, name: str) -> InvalidConfiguration:
        return InvalidConfiguration(where=f'{self.where}.{name}', reason='wrong_type')
