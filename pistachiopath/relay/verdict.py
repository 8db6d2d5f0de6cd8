"""Classification of a target's answer by its head."""

from __future__ import annotations

import enum


class Verdict(enum.Enum):
    """Kinds of answers.

    SUCCESS is an answer with proof that the target gave it.  FAILURE is the
    target's own failure, after which the request may have run.  NOT_RUN is the
    target's statement that the request did not run.  ELSEWHERE means that
    another replica has the address.  UNPROVEN is an answer that can't be the
    target's or lacks its proof.
    """

    SUCCESS = 'success'
    FAILURE = 'failure'
    NOT_RUN = 'not_run'
    ELSEWHERE = 'elsewhere'
    UNPROVEN = 'unproven'
