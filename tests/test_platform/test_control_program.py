from __future__ import annotations

import errno
import os

import pytest

from pistachiopath.platform.control_program import ControlProgram
from pistachiopath.platform.decoded_accounts import DecodedAccounts
from pistachiopath.platform.settings import PlatformSettings
from pistachiopath.telemetry.metrics import Metrics
from tools.free_address import free_address

from .test_configuration import VALID, encode


@pytest.fixture
def read_only(monkeypatch):
    """Make every attempt to store something durably fail, as without a disk."""

    def refuse(*_):
        raise OSError(errno.EROFS, 'read-only')

    for name in ('fsync', 'fdatasync', 'mkdir'):
        monkeypatch.setattr(os, name, refuse)


def control_program(**settings):
    cfg = PlatformSettings(
        name='n',
        role='control',
        zone='a',
        ip='127.0.0.1',
        ports=(7600, 7615),
        control=free_address(),
        **settings,
    )
    return ControlProgram(cfg, Metrics())


def test_a_control_node_without_a_data_folder_needs_no_disk(read_only):
    # Regression: it used a temporary folder, which does not sync, and ended at once.
    core = control_program()._shell.core
    assert core.version == 0
    assert not core.group.replica.members


def test_a_committed_document_that_cannot_be_decoded_is_published_all_the_same():
    # Regression: its accounts were decoded in the timer, which ended.
    shell = control_program()._shell
    shell.core.version = 5
    shell.core.content = encode(VALID).replace(b'5000', b'1' * 400)
    shell._publish_committed(1.0)
    assert shell.announcer.version == 5


def test_accounts_are_kept_when_the_next_document_cannot_be_decoded():
    accounts = DecodedAccounts()
    assert accounts.read(b'{') == ()
    known = accounts.read(encode(VALID))
    assert [account.name for account in known] == ['t', 'u']
    assert accounts.read(b'{') == known
