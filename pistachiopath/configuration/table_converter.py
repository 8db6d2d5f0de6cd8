"""Conversion of nested tables to attrs classes, with every error in them."""

from __future__ import annotations

import typing
from typing import TYPE_CHECKING, TypeVar

import attrs
import cattrs
from cattrs import transform_error
from cattrs.cols import list_structure_factory
from cattrs.gen import make_dict_structure_fn

from ..errors.settings import Finding, InvalidFile
from .flat_table import check_type
from .value_types import CHECKS, EXAMPLES

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar('T')
SEPARATOR = ' | '


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown keys and implicit type conversion.

    The one exception is that an integer is accepted where a float is expected.
    """
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for tp in (str, int, float, bool):
        converter.register_structure_hook(tp, check_type)
    for tp, check in CHECKS.items():
        converter.register_structure_hook_func(
            lambda wanted, tp=tp: wanted is tp,
            lambda value, _tp, check=check: check(check_type(value, str)),
        )
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: _table_hook(converter, cls)
    )
    converter.register_structure_hook_factory(
        lambda tp: typing.get_origin(tp) is tuple,
        lambda tp: _list_hook(converter, tp),
    )
    return converter


def _table_hook(converter: cattrs.Converter, cls: type) -> Callable:
    structure_table = make_dict_structure_fn(
        cls, converter, _cattrs_forbid_extra_keys=True
    )

    def hook(value: object, tp: type) -> object:
        if not isinstance(value, dict):
            raise ValueError('invalid type, expected a table')
        return structure_table(value, tp)

    return hook


def _list_hook(converter: cattrs.Converter, tp: type) -> Callable:
    structure_list = list_structure_factory(list[typing.get_args(tp)[0]], converter)

    def hook(value: object, _tp: type) -> tuple:
        if not isinstance(value, list):
            raise ValueError('invalid type, expected a list')
        return tuple(structure_list(value, tp))

    return hook


_converter = make_converter()


def structure_nested(data: object, cls: type[T], file: str) -> T:
    """Convert `data` to `cls`; raises `InvalidFile` with every finding."""
    try:
        return _converter.structure(data, cls)
    except cattrs.BaseValidationError as exc:
        findings = tuple(
            _finding(file, text)
            for text in transform_error(exc, format_exception=_describe)
        )
        raise InvalidFile(findings=findings) from exc
    except ValueError as exc:
        finding = Finding(
            file=file, key='file', reason=str(exc), expected='a table of keys'
        )
        raise InvalidFile(findings=(finding,)) from exc


def _finding(file: str, text: str) -> Finding:
    described, _, where = text.rpartition(' @ ')
    reason, _, expected = described.partition(SEPARATOR)
    key = where.removeprefix('$').removeprefix('.') or 'file'
    return Finding(file=file, key=key, reason=reason, expected=expected)


def _describe(exc: BaseException, tp: type | None) -> str:
    """Return the reason and the expected value, joined by `SEPARATOR`."""
    if isinstance(exc, cattrs.ForbiddenExtraKeysError):
        names = ', '.join(sorted(exc.extra_fields))
        valid_keys = ', '.join(field.name for field in attrs.fields(exc.cl))
        return f'unknown keys {names}{SEPARATOR}keys among {valid_keys}'
    if isinstance(exc, KeyError):
        return f'missing{SEPARATOR}a value'
    if tp in EXAMPLES:
        return f'{exc}{SEPARATOR}{EXAMPLES[tp]}'
    return f'wrong type{SEPARATOR}{getattr(tp, "__name__", tp)}'
