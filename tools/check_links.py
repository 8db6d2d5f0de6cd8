"""Checks that the relative links of the documentation point to existing files."""

from __future__ import annotations

import re
import sys
from pathlib import Path

LINK = re.compile(r'\]\(([^)#]+)(?:#[^)]*)?\)')


def main() -> int:
    """Print each broken link; return 1 if there is any."""
    exit_code = 0
    for page in [*Path('.').glob('*.md'), *Path('docs').rglob('*.md')]:
        for target in LINK.findall(page.read_text()):
            if '://' not in target and not (page.parent / target).exists():
                print(f'{page}: no file {target}')
                exit_code = 1
    return exit_code


if __name__ == '__main__':
    sys.exit(main())
