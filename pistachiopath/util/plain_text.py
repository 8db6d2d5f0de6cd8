"""Checks of text that other processes and people have written."""

from __future__ import annotations

import re

SURROGATE = re.compile('[\ud800-\udfff]')
CONTROL_CHARACTER = re.compile('[\x00-\x1f\x7f-\x9f]')
# Bounds the part of an unknown text that is logged.
MAX_LOGGED_CHARS = 80


def text_error(value: str, max_chars: int) -> str:
    r"""Return why a text can't be stored, sent and logged, or an empty string.

    A text with half a surrogate pair has no UTF-8 form, and one with control
    characters can't stand in a header.

    >>> text_error('Zürich', 10)
    ''
    >>> text_error('\ud800', 10)
    'surrogate'
    """
    if len(value) > max_chars:
        return 'too_long'
    if SURROGATE.search(value):
        return 'surrogate'
    if CONTROL_CHARACTER.search(value):
        return 'control_character'
    return ''


def shortened(value: str) -> str:
    """Return the beginning of an unchecked text, in a form that can be logged."""
    part = value[:MAX_LOGGED_CHARS]
    return part.encode('utf-8', 'backslashreplace').decode('utf-8')
