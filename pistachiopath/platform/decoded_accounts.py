"""Customers' accounts of the newest configuration that can be decoded."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from ..errors.configuration import InvalidConfiguration
from .configuration import decode_configuration

if TYPE_CHECKING:
    from ..routes.customer_account import CustomerAccount

logger = logging.getLogger(__name__)


class DecodedAccounts:
    """Reads accounts from committed documents.

    A build that accepts more may have committed a document that this one can't
    decode.  The accounts of the document before it are then kept.
    """

    def __init__(self) -> None:
        self._accounts: tuple[CustomerAccount, ...] = ()

    def read(self, content: bytes) -> tuple[CustomerAccount, ...]:
        """Return the accounts of a document, or the last ones known."""
        try:
            self._accounts = decode_configuration(content).customers
        except InvalidConfiguration as exc:
            logger.error(
                'accounts_unusable',
                extra={'bytes': len(content), 'reason': str(exc)},
            )
        return self._accounts
