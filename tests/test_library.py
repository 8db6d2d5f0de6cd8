from __future__ import annotations

import doctest
import inspect
import subprocess
import sys
from pathlib import Path

from pistachiopath import library


def test_examples_of_the_library_page_run():
    page = Path(__file__).parent.parent / 'docs' / 'library.md'
    result = doctest.testfile(str(page), module_relative=False)
    assert result.attempted > 15
    assert result.failed == 0


def test_the_public_names_and_signatures(snapshot):
    lines = []
    for name in library.__all__:
        part = getattr(library, name)
        lines.append(f'{name}{signature(part)}')
        lines += (
            [
                f'    {method}{signature(value)}'
                for method, value in sorted(vars(part).items())
                if inspect.isfunction(value) and not method.startswith('_')
            ]
            if inspect.isclass(part)
            else []
        )
    assert '\n'.join(lines) == snapshot


def signature(part):
    try:
        return str(inspect.signature(part))
    except ValueError:
        return ''


def test_library_does_not_import_gevent():
    code = 'import sys, pistachiopath.library; print("gevent" in sys.modules)'
    result = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == 'False'


def test_public_names_are_importable_from_the_package():
    import pistachiopath

    assert doctest.testmod(pistachiopath).failed == 0
    assert pistachiopath.Gate is library.Gate
    assert not hasattr(pistachiopath, 'Nonsense')
