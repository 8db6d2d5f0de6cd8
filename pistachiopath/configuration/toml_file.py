"""Reads TOML files into attrs classes and reports every error in them."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, TypeVar

from ..errors.settings import Finding, InvalidFile
from .flat_table import structure_flat

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar('T')


def structure(data: object, cls: type[T], file: str) -> T:
    """Convert `data` to `cls`; raises `InvalidFile` with every finding.

    The converter of nested tables is imported only for these and for invalid data.
    """
    converted = structure_flat(data, cls)
    if converted is not None:
        return converted
    from .table_converter import structure_nested

    return structure_nested(data, cls, file)


def read(path: Path) -> dict[str, object]:
    """Parse a TOML file without checking its keys; raises `InvalidFile`."""
    try:
        with path.open('rb') as file:
            return tomllib.load(file)
    except (OSError, ValueError, RecursionError) as exc:
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
