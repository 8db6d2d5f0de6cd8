"""Type-checked access to the fields of decoded JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors.configuration import InvalidConfiguration
from ..messages.ranges import MAX_EXACT, MAX_INTEGER, MIN_INTEGER
from ..util.plain_text import text_error

if TYPE_CHECKING:
    from collections.abc import Mapping


MAX_TEXT_CHARS = 4096


class WireFields:
    """Reads typed fields of one JSON object; raises `InvalidConfiguration`.

    Unknown fields are ignored, because newer writers may add some.  Texts can be
    encoded and sent in headers, and numbers are in the range of messages.
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
        self._check_text(name, value)
        return value

    def number(
        self,
        name: str,
        default: float | None = None,
        *,
        low: float = -MAX_EXACT,
        high: float = MAX_EXACT,
    ) -> float:
        """Return a number from `low` to `high`."""
        value = self._value(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise self._wrong_type(name)
        self._check_range(name, value, low, high)
        return value

    def integer(
        self,
        name: str,
        default: int | None = None,
        *,
        low: int = MIN_INTEGER,
        high: int = MAX_INTEGER,
    ) -> int:
        """Return an integer from `low` to `high`."""
        value = self._value(name, default)
        if isinstance(value, bool) or not isinstance(value, int):
            raise self._wrong_type(name)
        self._check_range(name, value, low, high)
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
        for text in value:
            self._check_text(name, text)
        return tuple(value)

    def _check_text(self, name: str, value: str) -> None:
        error = text_error(value, MAX_TEXT_CHARS)
        if error:
            raise InvalidConfiguration(where=f'{self.where}.{name}', reason=error)

    def _check_range(self, name: str, value: float, low: float, high: float) -> None:
        """Raise `InvalidConfiguration`, also for a value that is not a number."""
        if not low <= value <= high:
            where = f'{self.where}.{name}'
            raise InvalidConfiguration(where=where, reason='out_of_range')

    def _value(self, name: str, default: object) -> object:
        value = self._data.get(name)
        if value is not None:
            return value
        if default is None:
            raise InvalidConfiguration(where=f'{self.where}.{name}', reason='missing')
        return default

    def _wrong_type(self, name: str) -> InvalidConfiguration:
        return InvalidConfiguration(where=f'{self.where}.{name}', reason='wrong_type')
