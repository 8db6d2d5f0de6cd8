"""Requests that are refused before they become a flow."""

from __future__ import annotations

from dataclasses import dataclass

from .base import PistachiopathError


@dataclass(kw_only=True)
class BadRequest(PistachiopathError):
    """The request can't be served as it is; nothing of it ran."""

    code: str
    detail: str
    http_status: int = 400
    retry_after_ms: int = 0
