"""TOML files checked against attrs classes."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, TypeVar

import attrs
import cattrs
from cattrs import transform_error
from cattrs.gen import make_dict_structure_fn

from ..errors.settings import Finding, InvalidFile

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar('T')


def _strict(value: object, tp: type) -> object:
    number = tp is float and isinstance(value, int)
    if isinstance(value, bool) and tp is not bool:
        raise ValueError(f'invalid type, expected {tp.__name__}')
    if not number and not isinstance(value, tp):
        raise ValueError(f'invalid type, expected {tp.__name__}')
    return tp(value)


def make_converter() -> cattrs.Converter:
    """Return a converter that takes no unknown keys and no other types."""
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for tp in (str, int, float, bool):
        converter.register_structure_hook(tp, _strict)
    return converter


_converter = make_converter()


def _strict_hook(cls: type):  # noqa: ANN202
    return make_dict_structure_fn(cls, _converter, _cattrs_forbid_extra_keys=True)


_converter.register_structure_hook_factory(attrs.has, _strict_hook)


def structure(data: object, cls: type[T], file: str) -> T:
    """Return `data` as `cls`; raises `InvalidFile` with every finding."""
    try:
        return _converter.structure(data, cls)
    except cattrs.BaseValidationError as exc:
        findings = tuple(_finding(file, text) for text in transform_error(exc))
        raise InvalidFile(findings=findings) from exc


def _finding(file: str, text: str) -> Finding:
    reason, _, where = text.rpartition(' @ ')
    key = where.removeprefix('$').removeprefix('.') or 'file'
    return Finding(file=file, key=key, reason=reason, expected='see the docs')


def read(path: Path) -> dict[str, object]:
    """Return the tables of a TOML file; raises `InvalidFile`."""
    try:
        with path.open('rb') as file:
            return tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        finding = Finding(
            file=path.name,
            key='file',
            reason=str(exc),
            expected='a readable TOML file',
        )
        raise InvalidFile(findings=(finding,)) from exc


def load(path: Path, cls: type[T]) -> T:
    """Read a TOML file into `cls`; raises `InvalidFile`."""
    return structure(read(path), cls, path.name)
