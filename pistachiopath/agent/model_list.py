"""Decodes an engine's list of its models."""

from __future__ import annotations

import json
import logging

from ..messages.fencing import LoadedModel
from ..util.plain_text import shortened, text_error

logger = logging.getLogger(__name__)

MAX_NAME_CHARS = 256


def decode_model_list(content: bytes) -> tuple[LoadedModel, ...] | None:
    """Return the models in a list, or None if it can't be read.

    A model that can't be sent in a heartbeat is left out by itself.
    """
    try:
        items = json.loads(content)['models']
    except (ValueError, RecursionError, LookupError, TypeError) as exc:
        logger.warning('model_list_unreadable', extra={'error': type(exc).__name__})
        return None
    if not isinstance(items, list):
        logger.warning('model_list_unreadable', extra={'error': 'not_a_list'})
        return None
    models = [_decode(item) for item in items]
    usable = tuple(model for model in models if model is not None)
    if len(usable) < len(models):
        first = shortened(repr(items[models.index(None)]))
        logger.warning(
            'models_left_out',
            extra={'number': len(models) - len(usable), 'first': first},
        )
    return usable


def _decode(item: object) -> LoadedModel | None:
    """Return a model, or None if a field is missing or of another type."""
    if not isinstance(item, dict):
        return None
    adapters = item.get('adapters')
    if not isinstance(adapters, list):
        return None
    texts = [item.get('model'), item.get('version'), *adapters]
    if not all(_is_name(text) for text in texts):
        return None
    if not isinstance(item.get('ready'), bool):
        return None
    return LoadedModel(
        model=item['model'],
        version=item['version'],
        adapters=tuple(adapters),
        ready=item['ready'],
    )


def _is_name(value: object) -> bool:
    return isinstance(value, str) and not text_error(value, MAX_NAME_CHARS)
