"""Generates a configuration from an answered questionnaire."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

from ..errors.settings import Finding, InvalidFile
from .configuration import (
    Configuration,
    Customer,
    ModelPlacement,
    Tier,
    WorkClass,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .questionnaire import Questionnaire, WorkAnswer

# Requests per second and burst for each customer size.
SIZE_LIMITS = {'small': (5.0, 20), 'medium': (20.0, 80), 'large': (100.0, 400)}
SHA256_HEX = re.compile(r'[0-9a-f]{64}')
MAX_DEADLINE_S = 6 * 3600.0
MAX_OUTPUT_TOKENS = 1_000_000


def generate(answers: Questionnaire, file: str) -> Configuration:
    """Return the configuration; raises `InvalidFile` with every finding."""
    findings = [
        Finding(file=file, key=key, reason=reason, expected=expected)
        for key, reason, expected in _check(answers)
    ]
    if findings:
        raise InvalidFile(findings=tuple(findings))
    return Configuration(
        deployment=answers.deployment.name,
        tiers=tuple(
            Tier(
                name=tier.name,
                rank=rank,
                promised=tier.promised,
                deadline_s=tier.deadline_s,
            )
            for rank, tier in enumerate(answers.tiers)
        ),
        customers=tuple(
            Customer(
                name=customer.name,
                key_sha256=customer.key_sha256,
                requests_per_s=SIZE_LIMITS[customer.size][0],
                burst=SIZE_LIMITS[customer.size][1],
            )
            for customer in answers.customers
        ),
        work=tuple(_work_class(work) for work in answers.work),
        models=tuple(
            ModelPlacement(
                name=model.name,
                version=model.version,
                adapters=model.adapters,
                replicas=model.replicas,
            )
            for model in answers.models
        ),
    )


def _work_class(work: WorkAnswer) -> WorkClass:
    return WorkClass(
        name=work.name,
        tier=work.tier,
        model=work.model,
        service=work.service,
        path=work.path,
        idempotent=work.may_repeat,
        deadline_s=work.deadline_s,
        output_tokens=work.typical_output_tokens,
    )


def _check(answers: Questionnaire) -> Iterator[tuple[str, str, str]]:
    if not answers.deployment.name:
        yield 'deployment.name', 'empty', 'the name of who runs this'
    yield from _check_tiers(answers)
    yield from _check_customers(answers)
    yield from _check_all_work(answers)
    yield from _check_models(answers)


def _check_tiers(answers: Questionnaire) -> Iterator[tuple[str, str, str]]:
    if not answers.tiers:
        yield 'tiers', 'empty', 'at least one tier'
    yield from _check_names('tiers', answers.tiers)
    seen_unpromised = False
    for position, tier in enumerate(answers.tiers):
        key = f'tiers[{position}]'
        if not 0 < tier.deadline_s <= MAX_DEADLINE_S:
            yield (
                f'{key}.deadline_s',
                'out of range',
                f'more than 0 and at most {MAX_DEADLINE_S:g} seconds',
            )
        if tier.promised and seen_unpromised:
            yield (
                f'{key}.promised',
                'a promised tier below one that is not',
                'all promised tiers first',
            )
        seen_unpromised = seen_unpromised or not tier.promised


def _check_customers(answers: Questionnaire) -> Iterator[tuple[str, str, str]]:
    if not answers.customers:
        yield 'customers', 'empty', 'at least one customer'
    yield from _check_names('customers', answers.customers)
    hashes = Counter(customer.key_sha256 for customer in answers.customers)
    for position, customer in enumerate(answers.customers):
        key = f'customers[{position}]'
        if not SHA256_HEX.fullmatch(customer.key_sha256):
            yield (
                f'{key}.key_sha256',
                'not a SHA-256 in lower-case hex',
                'the second line that `pistachiopath make-key` prints',
            )
        elif hashes[customer.key_sha256] > 1:
            yield f'{key}.key_sha256', 'used twice', 'one key for each customer'
        if customer.size not in SIZE_LIMITS:
            yield f'{key}.size', 'unknown', 'small, medium or large'


def _check_all_work(answers: Questionnaire) -> Iterator[tuple[str, str, str]]:
    if not answers.work:
        yield 'work', 'empty', 'at least one kind of work'
    yield from _check_names('work', answers.work)
    tiers = {tier.name for tier in answers.tiers}
    models = {model.name for model in answers.models}
    for position, work in enumerate(answers.work):
        key = f'work[{position}]'
        if work.tier not in tiers:
            yield f'{key}.tier', f'no tier {work.tier!r}', 'a name under [[tiers]]'
        if bool(work.model) == bool(work.service):
            yield f'{key}.model', 'not one of both', 'either model or service'
        elif work.model and work.model not in models:
            yield (
                f'{key}.model',
                f'no model {work.model!r}',
                'a name under [[models]]',
            )
        if work.service and not work.path.startswith('/'):
            yield f'{key}.path', 'not a path', 'a path that begins with /'
        if not 0 <= work.deadline_s <= MAX_DEADLINE_S:
            yield (
                f'{key}.deadline_s',
                'out of range',
                f'0 (the deadline of the tier) to {MAX_DEADLINE_S:g} seconds',
            )
        if not 0 < work.typical_output_tokens <= MAX_OUTPUT_TOKENS:
            yield (
                f'{key}.typical_output_tokens',
                'out of range',
                f'1 to {MAX_OUTPUT_TOKENS}',
            )


def _check_models(answers: Questionnaire) -> Iterator[tuple[str, str, str]]:
    yield from _check_names('models', answers.models)
    for position, model in enumerate(answers.models):
        if model.replicas < 0:
            yield f'models[{position}].replicas', 'negative', '0 or more'


def _check_names(table: str, answers: Iterable) -> Iterator[tuple[str, str, str]]:
    names = Counter(answer.name for answer in answers)
    for position, answer in enumerate(answers):
        key = f'{table}[{position}].name'
        if not answer.name:
            yield key, 'empty', 'a name'
        elif names[answer.name] > 1:
            yield key, f'{answer.name!r} is used twice', 'a name of its own'
