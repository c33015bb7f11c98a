"""The deterministic state machine over idempotency keys.

Every replica applies the same commands in log order.  Time is the log time that
comes with each command and is monotonic; the machine reads no clock.

A granted key stays bound to its holder until the holder records
:class:`~hickoryweir.claims.commands.NotRun`; there is no lease that expires.
Records of keys issued at or before ``state.floor_s`` are dropped, and every claim
on such a key is refused.  The floor never decreases, so a call whose record was
dropped can't run again, even if clocks jump or the retention changes.

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
    """Execution state of the call that a key belongs to."""

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
        Time after its issue during which a key is accepted.
    clock_ahead_max_s : float
        Largest accepted lead of a key's issue time over the log time.
    account_records_max : int
        Largest number of unexpired records of one account.
    account_untimed_max : int
        Largest number of keys without issue time of one account, including
        expired ones.
    account_answers_max_bytes, answer_max_bytes : int
        Largest total size of the stored answers of one account, and largest
        size of one stored answer.
    configuration_version : int
        Version of the configuration that set the retention.
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
    """State of one key.

    Attributes
    ----------
    status : Status
        Execution state.
    timed : bool
        Whether the key carries its issue time.
    issued_at_s : float
        Issue time of the key; for a key without one, the log time of its first
        command.
    body_digest : bytes
        Digest of the call in the first granted claim; empty before it.
    attempt_id, router, backend_server : str
        Attempt that holds the key, its router process and the backend server
        of its claim; attempt and router are empty if the key is released.
    index : int
        Log index of the holder's claim.
    since_s : float
        Log time of the holder's claim.
    answer_status : int
        HTTP status of the answer.
    content_type : str
        Content type of a stored answer.
    answer : bytes
        Body of a stored answer, or SHA-256 of a body that was not stored.
    released : tuple of int
        Digests of the attempts recorded as not run, which are never granted
        again.
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
    """Records of one account.

    Attributes
    ----------
    records : dict of str to Record
        Unexpired records by key.
    retired : set of int
        Digests of expired keys without issue time.
    untimed_count : int
        Number of keys without issue time, including expired ones.
    answers_size_bytes : int
        Total size of the stored answers.
    """

    records: dict[str, Record] = dataclasses.field(default_factory=dict)
    retired: set[int] = dataclasses.field(default_factory=set)
    untimed_count: int = 0
    answers_size_bytes: int = 0


@dataclasses.dataclass(slots=True)
class State:
    """State of the machine, owned by the caller and modified by :func:`apply`.

    Attributes
    ----------
    limits : Limits
        Current limits.
    accounts : dict of str to Account
        By account name.
    floor_s : float
        Keys issued at or before it are refused.
    expiries : list of tuple
        Heap of (issue time, account, key) over all records.
    open_keys : dict
        Account and key of calls that may have run and whose outcome is not
        known, in the order in which they were claimed.
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
        Modified in place.
    command : Claim, RecordOutcome or SetRetention
        The command.
    index : int
        Its index in the log.
    time_s : float
        Log time of the command in Unix seconds; monotonic over the log.

    Returns
    -------
    Verdict
        Reply to the proposer, equal on every replica.
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
    """Return the key's record, a new one that is not stored yet, or a rejection."""
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
    """Return whether the call may have run and no answer is recorded."""
    return record.status in (Status.IN_PROGRESS, Status.UNKNOWN)


def stored_answer_size_bytes(record: Record | None) -> int:
    """Return the size of the body that is stored with a record."""
    return len(record.answer) if record and record.status is Status.DONE else 0


def attempt_digest(attempt_id: str) -> int:
    """Return the 64-bit digest that a record stores of a released attempt."""
    return _digest(attempt_id)


def key_digest(key: str) -> int:
    """Return the 64-bit digest that an account stores of an expired untimed key."""
    return _digest(key)


def _digest(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
