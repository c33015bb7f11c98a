"""What a caller is told for each verdict, and what of an answer is kept.

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
    """Return what the caller is told for a verdict that gives no answer.

    Parameters
    ----------
    verdict : ClaimVerdict or Unavailable
        Neither a grant nor a stored answer.

    Returns
    -------
    Refusal
        Its ``ran`` speaks of this call and of earlier ones with its key.

    Raises
    ------
    AssertionError
        If the verdict is a grant or a stored answer.
    """
    make = refusals.make_refusal
    reason = refusals.Reason
    match verdict:
        case verdicts.Unavailable(message, _, retry_after_s):
            return make(reason.NO_QUORUM, f"not claimed: {message}", retry_after_s)
        case verdicts.InProgress():
            return make(
                reason.ATTEMPT_IN_PROGRESS,
                "another attempt with this idempotency key has not ended",
                IN_PROGRESS_RETRY_AFTER_S,
                refusals.Ran.MAYBE,
            )
        case verdicts.DoneNotKept(status, digest):
            return make(
                reason.ANSWER_NOT_KEPT,
                f"the call ran and was answered with status {status}; the answer "
                f"was too large to keep, its SHA-256 is {digest.hex()}",
                ran=refusals.Ran.YES,
            )
        case verdicts.OutcomeUnknown():
            return make(
                reason.OUTCOME_UNKNOWN,
                "an earlier attempt may have run; it is not run again",
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
                f"the key's issue time is {ahead_s:.0f} s ahead of the clock here",
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
                else "the account holds too many live idempotency keys",
                None if untimed else ACCOUNT_FULL_RETRY_AFTER_S,
            )
        case _:
            raise AssertionError(f"no refusal goes with {verdict}")


def is_final(verdict: verdicts.ClaimVerdict) -> bool:
    """Return whether no copy of the claim can be granted any more.

    A grant counts as settled: its permit is finished by its owner.  After a
    refusal such as :class:`~hickoryweir.claims.verdicts.AccountFull`, a copy
    that is delivered late could still be granted.
    """
    return isinstance(verdict, FINAL_VERDICTS)


def limit_answer_size(
    outcome: commands.Outcome, answer_max_bytes: int
) -> commands.Outcome:
    """Return the outcome with an answer above the limit cut to its digest.

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
