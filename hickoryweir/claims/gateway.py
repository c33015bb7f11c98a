"""Claims and outcomes of non-idempotent calls, as seen from the router.

The gateway owns no sockets.  It is given a function that proposes a command to
the log and returns the verdict, or a failure if there is none.  The steps of one
call are: :attr:`Gateway.claim`, dispatch only with the permit,
:attr:`Gateway.finish`, answer the caller.

If an attempt ends without a permit but its claim may still be committed, the
gateway releases the attempt in the background, so that the reply "not run" is
true and the caller's next resend is not blocked.

See Also
--------
hickoryweir.claims.machine : State machine that the log applies.
"""

import asyncio
import collections.abc
import dataclasses
import uuid

from absl import logging
from returns import result

from hickoryweir.claims import commands, keys, replies, verdicts
from hickoryweir.outcomes import refusals

PROPOSE_TIMEOUT_S = 1.0
CLAIM_TIMEOUT_S = 2.0
RECORD_TIMEOUT_S = 2.0
BACKGROUND_TIMEOUT_S = 600.0
BACKGROUND_TASKS_MAX = 10_000
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
BACKOFF_FACTOR = 2.0
STALE_CLAIM_AGE_S = 120.0
ANSWER_MAX_BYTES = 64 * 1024

Propose = collections.abc.Callable[
    [commands.Command, float],
    collections.abc.Awaitable[result.Result[verdicts.Verdict, verdicts.Unavailable]],
]
Clock = collections.abc.Callable[[], float]
Sleep = collections.abc.Callable[[float], collections.abc.Awaitable[None]]
MakeAttemptId = collections.abc.Callable[[], str]
IsGone = collections.abc.Callable[[str], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Identification of a non-idempotent call in the log."""

    account: str
    key: keys.Key
    body_digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Exclusive right to run a call, held by one attempt until it is finished.

    Attributes
    ----------
    call : Call
        The call.
    attempt_id : str
        The attempt that holds the key.
    fencing_token : int
        Log index of the claim; increases from holder to holder.
    """

    call: Call
    attempt_id: str
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Complete answer that an earlier attempt with the same key recorded."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Gateway:
    """Operations on non-idempotent calls at one router.

    Attributes
    ----------
    claim : callable
        ``await claim(call, backend_server, deadline_s)`` returns a
        :class:`Permit`, a :class:`StoredAnswer` or a refusal.  ``deadline_s``
        is a time of the gateway's clock.
    finish : callable
        ``await finish(permit, outcome)`` records how the attempt ended.  After
        a failure it is retried in the background; the caller may be answered
        meanwhile.
    abandon : callable
        ``abandon(permit, reason)`` records in the background that the outcome is
        unknown; for cancelled attempts.
    close : callable
        ``await close(timeout_s)`` waits for background recordings, cancels
        those that have not finished and returns their number.
    """

    claim: collections.abc.Callable[
        [Call, str, float],
        collections.abc.Awaitable[
            result.Result[Permit | StoredAnswer, refusals.Refusal]
        ],
    ]
    finish: collections.abc.Callable[
        [Permit, commands.Outcome],
        collections.abc.Awaitable[
            result.Result[verdicts.RecordVerdict, verdicts.Unavailable]
        ],
    ]
    abandon: collections.abc.Callable[[Permit, str], None]
    close: collections.abc.Callable[[float], collections.abc.Awaitable[int]]


def make_gateway(
    propose: Propose,
    clock: Clock,
    router: str,
    sleep: Sleep = asyncio.sleep,
    make_attempt_id: MakeAttemptId = lambda: uuid.uuid4().hex,
    answer_max_bytes: int = ANSWER_MAX_BYTES,
    is_gone: IsGone = lambda router: False,
) -> Gateway:
    """Return the gateway of one router.

    Parameters
    ----------
    propose : callable
        ``await propose(command, timeout_s)`` returns the log's verdict, or
        :class:`~hickoryweir.claims.verdicts.Unavailable`.
    clock : callable
        Monotonic time in seconds.
    router : str
        This router process, see :mod:`hickoryweir.claims.holders`.
    sleep, make_attempt_id : callable, optional
        Replaced in tests.
    answer_max_bytes : int, optional
        Of larger answers, only the status and digest are sent to the log.
    is_gone : callable, optional
        Whether a router process is presumed to have ended.  The outcomes of its
        attempts are then recorded as unknown, because no process is left that
        records them.

    Returns
    -------
    Gateway
        Operations that share one set of background tasks.
    """
    background: set[asyncio.Task] = set()

    async def record(
        command: commands.RecordOutcome, timeout_s: float
    ) -> result.Result[verdicts.RecordVerdict, verdicts.Unavailable]:
        return await _record_until(propose, clock, sleep, command, timeout_s)

    def record_in_background(command: commands.RecordOutcome) -> None:
        if len(background) >= BACKGROUND_TASKS_MAX:
            logging.warning(
                "too many background recordings; outcome of attempt %s is not recorded",
                command.attempt_id,
            )
            return
        task = asyncio.get_running_loop().create_task(
            record(command, BACKGROUND_TIMEOUT_S)
        )
        background.add(task)
        task.add_done_callback(background.discard)

    async def claim(
        call: Call, backend_server: str, deadline_s: float
    ) -> result.Result[Permit | StoredAnswer, refusals.Refusal]:
        attempt = _Attempt(call, make_attempt_id(), backend_server, router)
        may_still_be_granted = True
        try:
            claimed = await _claim_until(
                propose, clock, sleep, is_gone, attempt, deadline_s
            )
            deadline_passed = clock() >= deadline_s
            granted = isinstance(claimed.verdict, verdicts.Granted)
            may_still_be_granted = claimed.may_still_be_granted or (
                granted and deadline_passed
            )
            return _result_for_verdict(attempt, claimed.verdict, deadline_passed)
        finally:
            if may_still_be_granted:
                record_in_background(_release_command(attempt, "attempt given up"))

    async def finish(
        permit: Permit, outcome: commands.Outcome
    ) -> result.Result[verdicts.RecordVerdict, verdicts.Unavailable]:
        command = _outcome_command(
            permit, replies.limit_answer_size(outcome, answer_max_bytes)
        )
        stored = False
        try:
            recorded = await record(command, RECORD_TIMEOUT_S)
            stored = isinstance(recorded, result.Success)
            return recorded
        finally:
            if not stored:
                record_in_background(command)

    def abandon(permit: Permit, reason: str) -> None:
        record_in_background(_outcome_command(permit, commands.Unknown(reason)))

    async def close(timeout_s: float) -> int:
        if not background:
            return 0
        _, pending = await asyncio.wait(set(background), timeout=timeout_s)
        for task in pending:
            task.cancel()
        return len(pending)

    return Gateway(claim, finish, abandon, close)


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    call: Call
    attempt_id: str
    backend_server: str
    router: str


@dataclasses.dataclass(frozen=True, slots=True)
class _ClaimResult:
    """Last verdict, and whether a proposed claim may still be granted later."""

    verdict: verdicts.ClaimVerdict | verdicts.Unavailable
    may_still_be_granted: bool


def _claim_command(attempt: _Attempt) -> commands.Claim:
    return commands.Claim(
        attempt.call.account,
        attempt.call.key.text,
        attempt.call.key.issued_at_s,
        attempt.call.body_digest,
        attempt.attempt_id,
        attempt.backend_server,
        attempt.router,
    )


def _outcome_command(
    permit: Permit, outcome: commands.Outcome
) -> commands.RecordOutcome:
    return _record_command(permit.call, permit.attempt_id, outcome)


def _release_command(attempt: _Attempt, reason: str) -> commands.RecordOutcome:
    return _record_command(attempt.call, attempt.attempt_id, commands.NotRun(reason))


def _record_command(
    call: Call, attempt_id: str, outcome: commands.Outcome
) -> commands.RecordOutcome:
    return commands.RecordOutcome(
        call.account, call.key.text, call.key.issued_at_s, attempt_id, outcome
    )


async def _claim_until(
    propose: Propose,
    clock: Clock,
    sleep: Sleep,
    is_gone: IsGone,
    attempt: _Attempt,
    deadline_s: float,
) -> _ClaimResult:
    """Propose the claim until there is a verdict to return or time is up.

    After a lost reply the same attempt is proposed again, up to
    ``CLAIM_TIMEOUT_S``.  While another attempt holds the key, the claim is
    proposed again until the deadline, unless the holder's claim is older than
    ``STALE_CLAIM_AGE_S``; if the holder's router is gone, its outcome is recorded
    as unknown.  A failure that is certain not to commit ends the claim at once.
    """
    command = _claim_command(attempt)
    no_verdict_deadline_s = min(clock() + CLAIM_TIMEOUT_S, deadline_s)
    backoff_s = INITIAL_BACKOFF_S
    in_progress: verdicts.InProgress | None = None
    may_have_committed = False
    while True:
        timeout_s = min(PROPOSE_TIMEOUT_S, max(0.0, deadline_s - clock()))
        proposed = await propose(command, timeout_s)
        if isinstance(proposed, result.Success):
            verdict = proposed.unwrap()
            if not isinstance(verdict, verdicts.InProgress):
                may_still_be_granted = may_have_committed or in_progress is not None
                return _ClaimResult(
                    verdict, may_still_be_granted and not replies.is_final(verdict)
                )
            in_progress = verdict
            if is_gone(verdict.router):
                unknown_recorded = await _record_unknown_for_holder(
                    propose, attempt, verdict, timeout_s
                )
                if isinstance(unknown_recorded, result.Success):
                    continue
            no_verdict_deadline_s = min(clock() + CLAIM_TIMEOUT_S, deadline_s)
            should_stop = verdict.age_s > STALE_CLAIM_AGE_S
        else:
            verdict = proposed.failure()
            may_have_committed = may_have_committed or verdict.may_commit
            should_stop = not verdict.may_commit or clock() >= no_verdict_deadline_s
        if should_stop or clock() + backoff_s >= deadline_s:
            return _ClaimResult(
                in_progress or verdict, may_have_committed or in_progress is not None
            )
        await sleep(backoff_s)
        backoff_s = min(backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)


async def _record_unknown_for_holder(
    propose: Propose,
    attempt: _Attempt,
    holder_claim: verdicts.InProgress,
    timeout_s: float,
) -> result.Result[verdicts.RecordVerdict, verdicts.Unavailable]:
    """Record the outcome of an attempt whose router is gone as unknown.

    If the router still runs, it may record its answer, which replaces the unknown
    outcome; it can no longer release the key.
    """
    logging.warning(
        "router of attempt %s is gone: %s; recording outcome as unknown after %.1f s",
        holder_claim.attempt_id,
        holder_claim.router,
        holder_claim.age_s,
    )
    outcome = commands.Unknown(f"router {holder_claim.router} is gone")
    unknown = _record_command(attempt.call, holder_claim.attempt_id, outcome)
    return await propose(unknown, timeout_s)


def _result_for_verdict(
    attempt: _Attempt,
    verdict: verdicts.ClaimVerdict | verdicts.Unavailable,
    deadline_passed: bool,
) -> result.Result[Permit | StoredAnswer, refusals.Refusal]:
    match verdict:
        case verdicts.Granted() if deadline_passed:
            return result.Failure(replies.DEADLINE_PASSED)
        case verdicts.Granted(index):
            return result.Success(Permit(attempt.call, attempt.attempt_id, index))
        case verdicts.Done(status, content_type, body):
            return result.Success(StoredAnswer(status, content_type, body))
        case _:
            return result.Failure(replies.refusal_for(verdict))


async def _record_until(
    propose: Propose,
    clock: Clock,
    sleep: Sleep,
    command: commands.RecordOutcome,
    timeout_s: float,
) -> result.Result[verdicts.RecordVerdict, verdicts.Unavailable]:
    """Propose the command until it is recorded or time is up."""
    until_s = clock() + timeout_s
    backoff_s = INITIAL_BACKOFF_S
    while True:
        remaining_s = max(0.0, until_s - clock())
        proposed = await propose(command, min(PROPOSE_TIMEOUT_S, remaining_s))
        stored = isinstance(proposed, result.Success)
        if stored and not isinstance(proposed.unwrap(), verdicts.AccountFull):
            return proposed
        if clock() + backoff_s >= until_s:
            return _report_not_recorded(proposed, command, backoff_s)
        await sleep(backoff_s)
        backoff_s = min(backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)


def _report_not_recorded(
    proposed: result.Result[verdicts.RecordVerdict, verdicts.Unavailable],
    command: commands.RecordOutcome,
    retry_after_s: float,
) -> result.Result[verdicts.RecordVerdict, verdicts.Unavailable]:
    logging.warning("outcome of attempt %s is not recorded yet", command.attempt_id)
    if isinstance(proposed, result.Failure):
        return proposed
    message = "the account has reached its limit of idempotency keys"
    return result.Failure(verdicts.Unavailable(message, False, retry_after_s))
