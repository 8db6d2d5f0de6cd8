"""Implementation of the operators' commands."""

from __future__ import annotations

import hashlib
import json
import secrets
import time
from pathlib import Path
from typing import TYPE_CHECKING

import gevent

from ..configuration.configuration import Configuration
from ..configuration.generate import generate
from ..configuration.questionnaire import BLANK, Questionnaire
from ..configuration.toml_file import load
from ..errors.operator import NotEverywhere, Outrun
from .client import OperatorClient
from .settings import OperatorSettings

if TYPE_CHECKING:
    import argparse

KEY_BYTES = 24
POLL_INTERVAL_S = 0.2


def print_questionnaire(_args: argparse.Namespace) -> None:
    """Print a blank questionnaire."""
    print(BLANK, end='')


def make_key(_args: argparse.Namespace) -> None:
    """Print a new customer key and its SHA-256."""
    key = secrets.token_urlsafe(KEY_BYTES)
    print(f'key        {key}')
    print(f'key_sha256 {hashlib.sha256(key.encode()).hexdigest()}')


def generate_configuration(args: argparse.Namespace) -> None:
    """Write the configuration generated from an answered questionnaire."""
    answers = load(args.answers, Questionnaire)
    configuration = generate(answers, args.answers.name)
    Path(args.output).write_bytes(configuration.to_bytes())
    print(f'wrote {args.output}')


def accept(args: argparse.Namespace) -> None:
    """Put a configuration in force and wait until all processes have it.

    Raises `Outrun` if a different configuration is in force under a revision
    other than the expected one, and `NotEverywhere` if a process doesn't report
    the new revision before the timeout.
    """
    content = Configuration.from_bytes(args.configuration.read_bytes()).to_bytes()
    cfg = load(args.settings, OperatorSettings)
    client = OperatorClient(cfg=cfg)
    expected = args.expected
    if expected is None:
        expected = client.configuration().revision
    reply = client.accept(expected, content)
    if not reply.accepted:
        raise Outrun(revision=reply.revision, digest=reply.digest.hex())
    print(f'revision {reply.revision} accepted')
    _wait_everywhere(client, reply.revision, cfg.timeout_s)
    print(f'revision {reply.revision} in force everywhere')


def status(args: argparse.Namespace) -> None:
    """Print replicas, members, targets and the revision of each process."""
    client = OperatorClient(cfg=load(args.settings, OperatorSettings))
    replicas = client.status()
    if args.json:
        print(json.dumps(replicas, indent=2, sort_keys=True))
        return
    for address, document in sorted(replicas.items()):
        print(
            f'control {address} role={document["role"]} term={document["term"]} '
            f'commit={document["commit"]} revision={document["revision"]} '
            f'claims={document["claims"]}'
        )
    newest = max(replicas.values(), key=lambda document: document['commit'])
    for member in newest['members']:
        print(f'member {member["address"]} voter={member["voter"]}')
    for target in sorted(newest['targets'], key=lambda t: t['target']):
        serves = ','.join(target['models'] + target['services'])
        print(
            f'target {target["target"]} zone={target["zone"]} serves={serves} '
            f'running={target["running"]} queued={target["queued"]} '
            f'departing={target["departing"]}'
        )
    for name, revision in sorted(_revisions(replicas).items()):
        print(f'process {name} revision={revision}')


def _revisions(replicas: dict[str, dict]) -> dict[str, int]:
    revisions: dict[str, int] = {}
    for address, document in replicas.items():
        revisions[address] = document['revision']
        for name, revision in document['revisions'].items():
            revisions[name] = max(revision, revisions.get(name, 0))
    return revisions


def _wait_everywhere(client: OperatorClient, revision: int, timeout_s: float) -> None:
    deadline = time.monotonic() + timeout_s
    while True:
        revisions = _revisions(client.status())
        behind = tuple(
            name for name, applied in revisions.items() if applied < revision
        )
        if not behind:
            return
        if time.monotonic() >= deadline:
            raise NotEverywhere(revision=revision, behind=behind)
        gevent.sleep(POLL_INTERVAL_S)
