"""Replies of the replicated log to commands about idempotency keys."""

import dataclasses

from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The attempt holds the key; only it may run the call.

    Attributes
    ----------
    index : int
        Log index of the claim, used as the fencing token.
    """

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt holds the key and has recorded no outcome.

    Attributes
    ----------
    router : str
        Router process of the holding attempt, see :mod:`hickoryweir.claims.holders`.
    since_s : float
        Log time of its claim.
    age_s : float
        Time since the claim, in log time.
    attempt_id : str
        The holding attempt.
    """

    router: str
    since_s: float
    age_s: float
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The call ran; carries its complete answer."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DoneNotKept:
    """The call ran; only the status and SHA-256 of its answer are stored."""

    status: int
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """An attempt may have run; the call is never run again."""


@dataclasses.dataclass(frozen=True, slots=True)
class DigestMismatch:
    """The key belongs to a call with another body."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyExpired:
    """The key is older than the retention; whether its call ran is not known."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeyFromFuture:
    """The key's issue time is too far ahead of the log time."""

    ahead_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptReleased:
    """The attempt was recorded as not run and is never granted again."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptsExhausted:
    """Too many attempts with this key ended without running; use a new key."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccountFull:
    """The account has reached its limit of records or of untimed keys.

    Attributes
    ----------
    untimed : bool
        True if the limit is that of keys without issue time; other keys are
        still accepted.
    """

    untimed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Recorded:
    """The outcome is recorded; also the reply to a repeated command."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotHolder:
    """The attempt does not hold the key; the state is unchanged."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeFixed:
    """The outcome recorded earlier can't be replaced by this one."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetentionSet:
    """The current retention."""

    retention_s: float


ClaimVerdict = (
    Granted
    | InProgress
    | Done
    | DoneNotKept
    | OutcomeUnknown
    | DigestMismatch
    | KeyExpired
    | KeyFromFuture
    | AttemptReleased
    | AttemptsExhausted
    | AccountFull
)
RecordVerdict = Recorded | NotHolder | OutcomeFixed | AccountFull
Verdict = ClaimVerdict | RecordVerdict | RetentionSet


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The log returned no verdict.

    Attributes
    ----------
    message : str
        Cause.
    may_commit : bool
        False only if the command is certain never to be committed.
    retry_after_s : float
        Recommended delay before a retry.
    """

    message: str
    may_commit: bool
    retry_after_s: float


codec.register("claims.verdict.granted", Granted)
codec.register("claims.verdict.in_progress", InProgress)
codec.register("claims.verdict.done", Done)
codec.register("claims.verdict.done_not_kept", DoneNotKept)
codec.register("claims.verdict.outcome_unknown", OutcomeUnknown)
codec.register("claims.verdict.digest_mismatch", DigestMismatch)
codec.register("claims.verdict.key_expired", KeyExpired)
codec.register("claims.verdict.key_from_future", KeyFromFuture)
codec.register("claims.verdict.attempt_released", AttemptReleased)
codec.register("claims.verdict.attempts_exhausted", AttemptsExhausted)
codec.register("claims.verdict.account_full", AccountFull)
codec.register("claims.verdict.recorded", Recorded)
codec.register("claims.verdict.not_holder", NotHolder)
codec.register("claims.verdict.outcome_fixed", OutcomeFixed)
codec.register("claims.verdict.retention_set", RetentionSet)
codec.register("claims.verdict.unavailable", Unavailable)
