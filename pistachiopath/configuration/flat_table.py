"""Conversion of tables without nested tables, without cattrs.

Importing cattrs takes about 6 ms of a core, which a program would spend at each start
before it can serve.
"""

from __future__ import annotations

import typing
from typing import TypeVar

import attrs

from ..messages.ranges import MAX_INTEGER, MIN_INTEGER
from .value_types import CHECKS

T = TypeVar('T')
SCALARS = (str, int, float, bool)


def check_type(value: object, tp: type) -> object:
    """Return a value of type `tp`; raises `ValueError`.

    An integer is accepted where a float is expected.
    """
    is_int_for_float = tp is float and isinstance(value, int)
    if isinstance(value, bool) and tp is not bool:
        raise ValueError(f'invalid type, expected {tp.__name__}')
    if not is_int_for_float and not isinstance(value, tp):
        raise ValueError(f'invalid type, expected {tp.__name__}')
    try:
        result = tp(value)
    except OverflowError as exc:
        raise ValueError('number out of range') from exc
    if tp in (int, float) and not MIN_INTEGER <= result <= MAX_INTEGER:
        raise ValueError('number out of range')
    return result


def structure_flat(data: object, cls: type[T]) -> T | None:
    """Return an object of the attrs class `cls`, or None.

    None means that the data is invalid or that `cls` has fields of other types than
    scalars, checked strings and tuples of these.
    """
    if not isinstance(data, dict) or not attrs.has(cls):
        return None
    types = typing.get_type_hints(cls)
    names = {field.alias: field.name for field in attrs.fields(cls) if field.init}
    if not data.keys() <= names.keys():
        return None
    try:
        return cls(
            **{key: _value(value, types[names[key]]) for key, value in data.items()}
        )
    except (TypeError, ValueError):
        return None


def _value(value: object, tp: typing.Any) -> object:
    """Return a checked value; raises `TypeError` for a type that is not flat."""
    if tp in SCALARS:
        return check_type(value, tp)
    if tp in CHECKS:
        return CHECKS[tp](check_type(value, str))
    if typing.get_origin(tp) is not tuple or not isinstance(value, list):
        raise TypeError(tp)
    return tuple(_value(item, typing.get_args(tp)[0]) for item in value)
