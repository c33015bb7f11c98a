"""Refusals sent to callers for each verdict, and the size limit of stored answers.

Examples
--------
>>> refusal_for(verdicts.OutcomeUnknown()).ran
<Ran.MAYBE: 'maybe'>
>>> is_final(verdicts.OutcomeUnknown())
True
"""

import hashlib

from hickoryweir.claims import commands, verdicts
from hickoryweir.outcomes import refusals

IN_PROGRESS_RETRY_AFTER_S = 2.0
ACCOUNT_FULL_RETRY_AFTER_S = 60.0

FINAL_VERDICTS = (
    verdicts.Granted,
    verdicts.Done,
    verdicts.DoneNotKept,
    verdicts.OutcomeUnknown,
    verdicts.KeyExpired,
    verdicts.AttemptReleased,
)

DEADLINE_PASSED = refusals.make_refusal(
    refusals.Reason.DEADLINE_EXCEEDED,
    "the deadline passed before the call could be dispatched",
    retry_after_s=IN_PROGRESS_RETRY_AFTER_S,
)


def refusal_for(
    verdict: verdicts.ClaimVerdict | verdicts.Unavailable,
) -> refusals.Refusal:
    """Return the refusal sent to the caller for a verdict.

    Parameters
    ----------
    verdict : ClaimVerdict or Unavailable
        Neither a grant nor a stored answer.

    Returns
    -------
    Refusal
        Its ``ran`` covers this call and earlier ones with the same key.

    Raises
    ------
    AssertionError
        If the verdict is a grant or a stored answer.
    """
    make = refusals.make_refusal
    reason = refusals.Reason
    match verdict:
        case verdicts.Unavailable(message, _, retry_after_s):
            return make(
                reason.NO_QUORUM, f"the call was not claimed: {message}", retry_after_s
            )
        case verdicts.InProgress():
            return make(
                reason.ATTEMPT_IN_PROGRESS,
                "another attempt with this idempotency key is in progress",
                IN_PROGRESS_RETRY_AFTER_S,
                refusals.Ran.MAYBE,
            )
        case verdicts.DoneNotKept(status, digest):
            return make(
                reason.ANSWER_NOT_KEPT,
                f"the call ran and was answered with status {status}; the answer "
                f"was too large to store, its SHA-256 is {digest.hex()}",
                ran=refusals.Ran.YES,
            )
        case verdicts.OutcomeUnknown():
            return make(
                reason.OUTCOME_UNKNOWN,
                "an earlier attempt may have run; the call is not run again",
                ran=refusals.Ran.MAYBE,
            )
        case verdicts.DigestMismatch():
            return make(
                reason.IDEMPOTENCY_KEY_REUSED,
                "this idempotency key belongs to a call with another body",
            )
        case verdicts.KeyExpired():
            return make(
                reason.IDEMPOTENCY_KEY_EXPIRED,
                "this idempotency key is past its retention; whether a call with "
                "it ran is no longer known",
                ran=refusals.Ran.MAYBE,
            )
        case verdicts.KeyFromFuture(ahead_s):
            return make(
                reason.IDEMPOTENCY_KEY_INVALID,
                f"the key's issue time is {ahead_s:.0f} s ahead of the log's clock",
            )
        case verdicts.AttemptReleased() | verdicts.AttemptsExhausted():
            return make(
                reason.RETRIES_EXHAUSTED,
                "no attempt with this idempotency key could be dispatched; use a "
                "new key",
            )
        case verdicts.AccountFull(untimed):
            return make(
                reason.CLAIMS_FULL,
                "use idempotency keys that carry their issue time"
                if untimed
                else "the account holds too many unexpired idempotency keys",
                None if untimed else ACCOUNT_FULL_RETRY_AFTER_S,
            )
        case _:
            raise AssertionError(f"no refusal is defined for {verdict}")


def is_final(verdict: verdicts.ClaimVerdict) -> bool:
    """Return whether a copy of the claim can no longer be granted.

    A grant counts as final, because the owner of its permit records the outcome.
    After a refusal such as :class:`~hickoryweir.claims.verdicts.AccountFull`, a
    copy of the claim that is delivered late could still be granted.
    """
    return isinstance(verdict, FINAL_VERDICTS)


def limit_answer_size(
    outcome: commands.Outcome, answer_max_bytes: int
) -> commands.Outcome:
    """Return the outcome; an answer above the limit is replaced by its digest.

    Examples
    --------
    >>> limit_answer_size(commands.Answered(200, "text/plain", b"long"), 3).status
    200
    """
    match outcome:
        case commands.Answered(status, _, body) if len(body) > answer_max_bytes:
            return commands.AnsweredUnkept(status, hashlib.sha256(body).digest())
        case _:
            return outcome
