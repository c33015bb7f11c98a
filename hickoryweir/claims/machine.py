"""The deterministic state machine over idempotency keys.

Every replica applies the same commands in log order, with the log's own time,
which never goes back.  The machine reads no clock.

A key that ever was granted stays bound to its holder until the holder records
:class:`~hickoryweir.claims.commands.NotRun`.  No passing of time frees it.  Time
only forgets: records issued at or before ``state.floor_s`` are dropped, and
every claim issued at or before the floor is refused.  The floor never falls, so
a dropped key can't run again, whatever clocks or the retention do.

Examples
--------
>>> state = initial_state()
>>> claim = commands.Claim("a", "k", None, b"d", "attempt-1", "till-1", "vm-1")
>>> apply(state, claim, 1, 100.0)
Granted(index=1)
>>> rival = dataclasses.replace(claim, attempt_id="attempt-2", router="vm-2")
>>> apply(state, rival, 2, 101.0)
InProgress(router='vm-1', since_s=100.0, age_s=1.0, attempt_id='attempt-1')
"""

import dataclasses
import enum
import hashlib
import heapq

from hickoryweir.claims import commands, verdicts

RETENTION_S = 24 * 3600.0
CLOCK_AHEAD_MAX_S = 300.0
ACCOUNT_RECORDS_MAX = 100_000
ACCOUNT_UNTIMED_MAX = 200_000
ACCOUNT_ANSWERS_MAX_BYTES = 16 * 1024 * 1024
ANSWER_MAX_BYTES = 64 * 1024
RELEASED_ATTEMPTS_MAX = 256
EXPIRIES_PER_COMMAND_MAX = 64
DIGEST_BYTES = 8


class Status(enum.IntEnum):
    """What is known of a key."""

    RELEASED = 0
    IN_PROGRESS = 1
    DONE = 2
    DONE_NOT_KEPT = 3
    UNKNOWN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on the state; equal on all replicas of a log.

    Attributes
    ----------
    retention_s : float
        How long a key may be used after its issue.
    clock_ahead_max_s : float
        How far a key's issue time may be ahead of the log's time.
    account_records_max : int
        Live records of one account.
    account_untimed_max : int
        Untimed keys of one account, live and retired.
    account_answers_max_bytes, answer_max_bytes : int
        Stored answers of one account, and the largest of them.
    configuration_version : int
        Version that the retention comes from.
    """

    retention_s: float = RETENTION_S
    clock_ahead_max_s: float = CLOCK_AHEAD_MAX_S
    account_records_max: int = ACCOUNT_RECORDS_MAX
    account_untimed_max: int = ACCOUNT_UNTIMED_MAX
    account_answers_max_bytes: int = ACCOUNT_ANSWERS_MAX_BYTES
    answer_max_bytes: int = ANSWER_MAX_BYTES
    configuration_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What is kept of one key.

    Attributes
    ----------
    status : Status
        What is known.
    timed : bool
        Whether the key carries its issue time.
    issued_at_s : float
        That time, or the log's time at first sight.
    body_digest : bytes
        Digest of the first claim; empty before it.
    attempt_id, router, backend_server : str
        The holder; empty if released.
    index : int
        Log index of the holder's claim.
    since_s : float
        Log time of the holder's claim.
    answer_status : int
        HTTP status of the answer.
    content_type : str
        Content type of a kept answer.
    answer : bytes
        Body of a kept answer, or digest of one that was not kept.
    released : tuple of int
        Digests of attempts that get no grant any more.
    """

    status: Status
    timed: bool
    issued_at_s: float
    body_digest: bytes = b""
    attempt_id: str = ""
    router: str = ""
    backend_server: str = ""
    index: int = 0
    since_s: float = 0.0
    answer_status: int = 0
    content_type: str = ""
    answer: bytes = b""
    released: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True)
class Account:
    """Records of one account; ``retired`` holds digests of old untimed keys."""

    records: dict[str, Record] = dataclasses.field(default_factory=dict)
    retired: set[int] = dataclasses.field(default_factory=set)
    untimed_count: int = 0
    answers_size_bytes: int = 0


@dataclasses.dataclass(slots=True)
class State:
    """The whole state, owned by the caller and changed by :func:`apply`.

    Attributes
    ----------
    limits : Limits
        Bounds in force.
    accounts : dict of str to Account
        By account name.
    floor_s : float
        Keys issued at or before it are refused.
    expiries : list of tuple
        Heap of (issue time, account, key).
    open_keys : dict
        Account and key of the records without a known outcome, in the order in
        which they became so.
    """

    limits: Limits
    accounts: dict[str, Account] = dataclasses.field(default_factory=dict)
    floor_s: float = float("-inf")
    expiries: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list, compare=False
    )
    open_keys: dict[tuple[str, str], None] = dataclasses.field(
        default_factory=dict, compare=False
    )


def initial_state(limits: Limits | None = None) -> State:
    """Return an empty state."""
    return State(limits or Limits())


def apply(
    state: State, command: commands.Command, index: int, time_s: float
) -> verdicts.Verdict:
    """Apply one committed command.

    Parameters
    ----------
    state : State
        Changed in place.
    command : Claim, RecordOutcome or SetRetention
        The command.
    index : int
        Its index in the log.
    time_s : float
        The log's Unix time; never falls from one command to the next.

    Returns
    -------
    Verdict
        The same on every replica.
    """
    _expire(state, time_s)
    match command:
        case commands.Claim():
            return _claim(state, command, index, time_s)
        case commands.RecordOutcome():
            return _record_outcome(state, command, time_s)
        case commands.SetRetention():
            return _set_retention(state, command)


def _set_retention(
    state: State, command: commands.SetRetention
) -> verdicts.RetentionSet:
    if command.configuration_version >= state.limits.configuration_version:
        state.limits = dataclasses.replace(
            state.limits,
            retention_s=command.retention_s,
            configuration_version=command.configuration_version,
        )
    return verdicts.RetentionSet(state.limits.retention_s)


def _claim(
    state: State, claim: commands.Claim, index: int, time_s: float
) -> verdicts.ClaimVerdict:
    found = _find_or_create(state, claim, time_s)
    if not isinstance(found, Record):
        return found
    record = found
    if record.body_digest and record.body_digest != claim.body_digest:
        return verdicts.DigestMismatch()
    if record.status is not Status.RELEASED:
        return _existing_claim_verdict(record, claim.attempt_id, time_s)
    if attempt_digest(claim.attempt_id) in record.released:
        return verdicts.AttemptReleased()
    if len(record.released) >= RELEASED_ATTEMPTS_MAX:
        return verdicts.AttemptsExhausted()
    claimed = dataclasses.replace(
        record,
        status=Status.IN_PROGRESS,
        body_digest=claim.body_digest,
        attempt_id=claim.attempt_id,
        router=claim.router,
        backend_server=claim.backend_server,
        index=index,
        since_s=time_s,
    )
    _store(state, claim.account, claim.key, claimed)
    return verdicts.Granted(index)


def _existing_claim_verdict(
    record: Record, attempt_id: str, time_s: float
) -> verdicts.ClaimVerdict:
    match record.status:
        case Status.DONE:
            return verdicts.Done(
                record.answer_status, record.content_type, record.answer
            )
        case Status.DONE_NOT_KEPT:
            return verdicts.DoneNotKept(record.answer_status, record.answer)
        case Status.UNKNOWN:
            return verdicts.OutcomeUnknown()
        case _:
            if record.attempt_id == attempt_id:
                return verdicts.Granted(record.index)
            age_s = time_s - record.since_s
            return verdicts.InProgress(
                record.router, record.since_s, age_s, record.attempt_id
            )


def _record_outcome(
    state: State, command: commands.RecordOutcome, time_s: float
) -> verdicts.RecordVerdict:
    account = state.accounts.get(command.account)
    record = account.records.get(command.key) if account else None
    if isinstance(command.outcome, commands.NotRun):
        return _release(state, command, record, time_s)
    if record is None or record.attempt_id != command.attempt_id:
        return verdicts.NotHolder()
    if record.status in (Status.DONE, Status.DONE_NOT_KEPT):
        repeated = isinstance(
            command.outcome, commands.Answered | commands.AnsweredUnkept
        )
        return verdicts.Recorded() if repeated else verdicts.OutcomeFixed()
    updated = _with_outcome(state, account, record, command.outcome)
    _store(state, command.account, command.key, updated)
    return verdicts.Recorded()


def _with_outcome(
    state: State, account: Account, record: Record, outcome: commands.Outcome
) -> Record:
    match outcome:
        case commands.Answered(status, content_type, body):
            size_bytes = account.answers_size_bytes + len(body)
            fits = len(body) <= state.limits.answer_max_bytes
            if fits and size_bytes <= state.limits.account_answers_max_bytes:
                return dataclasses.replace(
                    record,
                    status=Status.DONE,
                    answer_status=status,
                    content_type=content_type,
                    answer=body,
                )
            return _without_body(record, status, hashlib.sha256(body).digest())
        case commands.AnsweredUnkept(status, digest):
            return _without_body(record, status, digest)
        case _:
            return dataclasses.replace(record, status=Status.UNKNOWN)


def _without_body(record: Record, status: int, digest: bytes) -> Record:
    return dataclasses.replace(
        record, status=Status.DONE_NOT_KEPT, answer_status=status, answer=digest
    )


def _release(
    state: State,
    command: commands.RecordOutcome,
    record: Record | None,
    time_s: float,
) -> verdicts.RecordVerdict:
    if record is None:
        found = _find_or_create(state, command, time_s)
        if isinstance(found, verdicts.AccountFull):
            return found
        if not isinstance(found, Record):
            return verdicts.Recorded()
        record = found
    digest = attempt_digest(command.attempt_id)
    if digest in record.released:
        return verdicts.Recorded()
    is_holder = record.attempt_id == command.attempt_id
    if record.status not in (Status.RELEASED, Status.IN_PROGRESS):
        return verdicts.OutcomeFixed() if is_holder else verdicts.Recorded()
    released = record
    if len(record.released) < RELEASED_ATTEMPTS_MAX:
        released = dataclasses.replace(record, released=(*record.released, digest))
    if is_holder:
        released = dataclasses.replace(
            released, status=Status.RELEASED, attempt_id="", router="", index=0
        )
    _store(state, command.account, command.key, released)
    return verdicts.Recorded()


def _find_or_create(
    state: State, command: commands.Claim | commands.RecordOutcome, time_s: float
) -> Record | verdicts.ClaimVerdict:
    """Return the key's record, a new one for it, or why there is none."""
    issued_at_s = command.issued_at_s
    timed = issued_at_s is not None
    account = state.accounts.get(command.account) or Account()
    if timed and issued_at_s <= state.floor_s:
        return verdicts.KeyExpired()
    record = account.records.get(command.key)
    if record is not None:
        return record
    latest_s = time_s + state.limits.clock_ahead_max_s
    if timed and issued_at_s > latest_s and isinstance(command, commands.Claim):
        return verdicts.KeyFromFuture(issued_at_s - time_s)
    if not timed and key_digest(command.key) in account.retired:
        return verdicts.KeyExpired()
    if len(account.records) >= state.limits.account_records_max:
        return verdicts.AccountFull(untimed=False)
    if not timed and account.untimed_count >= state.limits.account_untimed_max:
        return verdicts.AccountFull(untimed=True)
    return Record(Status.RELEASED, timed, issued_at_s if timed else time_s)


def _store(state: State, account_name: str, key: str, record: Record) -> None:
    account = state.accounts.setdefault(account_name, Account())
    before = account.records.get(key)
    account.records[key] = record
    account.answers_size_bytes += stored_answer_size_bytes(
        record
    ) - stored_answer_size_bytes(before)
    if is_open(record):
        state.open_keys[account_name, key] = None
    else:
        state.open_keys.pop((account_name, key), None)
    if before is None:
        account.untimed_count += not record.timed
        heapq.heappush(state.expiries, (record.issued_at_s, account_name, key))


def _expire(state: State, time_s: float) -> None:
    state.floor_s = max(state.floor_s, time_s - state.limits.retention_s)
    for _ in range(EXPIRIES_PER_COMMAND_MAX):
        if not state.expiries or state.expiries[0][0] > state.floor_s:
            return
        _, account_name, key = heapq.heappop(state.expiries)
        account = state.accounts[account_name]
        record = account.records.pop(key)
        state.open_keys.pop((account_name, key), None)
        account.answers_size_bytes -= stored_answer_size_bytes(record)
        if not record.timed:
            account.retired.add(key_digest(key))


def is_open(record: Record) -> bool:
    """Return whether the key may have run and no answer of it is known."""
    return record.status in (Status.IN_PROGRESS, Status.UNKNOWN)


def stored_answer_size_bytes(record: Record | None) -> int:
    """Return the size of a record's kept answer."""
    return len(record.answer) if record and record.status is Status.DONE else 0


def attempt_digest(attempt_id: str) -> int:
    """Return the 64-bit digest under which a released attempt is remembered."""
    return _digest(attempt_id)


def key_digest(key: str) -> int:
    """Return the 64-bit digest under which an expired untimed key is remembered."""
    return _digest(key)


def _digest(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
