"""Model of log replication: appending, acknowledging and committing entries.

An election is a single step: a candidate and one voter, whose log is at most as
up-to-date as the candidate's, agree on a term; :mod:`spec.elections` checks that
elections are safe.  An entry is represented by the term in which it was appended.
Any prefix of a log that a leader has had may reach any replica at any later time;
acknowledgements are never withdrawn.  A crash keeps only what was synced.

Examples
--------
>>> import minicheck
>>> checked = minicheck.check_safety(make_model(term_count=2, log_length=1))
>>> checked["exhaustive"], checked["properties"]["committed_is_kept"]["holds"]
(True, True)
"""

import enum
import itertools
import typing
from collections.abc import Iterator

import minicheck

from spec import log_models

REPLICAS = (0, 1, 2)
MAJORITY = 2

Log = tuple[int, ...]


class Mutation(enum.StrEnum):
    """Protocol faults; the checker must find a counterexample to each."""

    ACK_BEFORE_FSYNC = "ack_before_fsync"
    COMMIT_OLD_TERM = "commit_old_term"
    COMMIT_ON_ONE = "commit_on_one"
    VOTE_FOR_OLDER_LOG = "vote_for_older_log"
    TRUNCATE_ON_LATE_MESSAGE = "truncate_on_late_message"
    ACCEPT_OLD_TERM = "accept_old_term"


class Replica(typing.NamedTuple):
    """One replica; the first ``synced_length`` entries of its log are on disk."""

    term: int = 0
    leads: bool = False
    log: Log = ()
    synced_length: int = 0


class State(typing.NamedTuple):
    """Replicas, messages sent so far, and the committed entries.

    Attributes
    ----------
    leader_logs : tuple of (Log or None)
        Log of the leader by term; None if the term has no leader.
    acks : tuple of tuple of int
        Highest acknowledged log length by term and replica.
    committed : tuple of int
        Longest committed prefix of a log.
    commit_term : int
        Term of the leader that committed it first.
    conflict : bool
        Whether two committed prefixes differed.
    """

    replicas: tuple[Replica, ...]
    leader_logs: tuple[Log | None, ...]
    acks: tuple[tuple[int, ...], ...]
    committed: Log
    commit_term: int
    conflict: bool


Step = tuple[str, State]


def make_model(
    term_count: int = 3, log_length: int = 1, mutation: Mutation | None = None
) -> minicheck.Protocol:
    """Return the model with bounds on the terms and on the length of logs."""
    term_slot_count = term_count + 1
    initial = State(
        (Replica(),) * len(REPLICAS),
        (None,) * term_slot_count,
        ((0,) * len(REPLICAS),) * term_slot_count,
        (),
        0,
        False,
    )

    def transitions(packed: tuple) -> list[Step]:
        return list(steps_from(State(*packed), log_length, mutation))

    return log_models.make_protocol("replication", initial, transitions)


def steps_from(
    state: State, log_length: int, mutation: Mutation | None = None
) -> Iterator[Step]:
    """Yield each step that the protocol allows in ``state``."""
    for number, replica in enumerate(state.replicas):
        yield from _election_steps(state, number, mutation)
        yield from _receive_steps(state, number, mutation)
        if replica.leads and len(replica.log) < log_length:
            yield f"append({number})", append(state, number)
        if replica.synced_length < len(replica.log):
            yield f"sync({number})", sync(state, number)
        if replica.leads or replica.synced_length < len(replica.log):
            yield f"crash({number})", crash(state, number)
        if replica.leads:
            yield from _commit_steps(state, number, mutation)


def _with_replica(state: State, number: int, replica: Replica) -> State:
    replicas = (*state.replicas[:number], replica, *state.replicas[number + 1 :])
    return state._replace(replicas=replicas)


def _up_to_date_key(log: Log) -> tuple[int, int]:
    return (log[-1] if log else 0, len(log))


def _election_steps(
    state: State, number: int, mutation: Mutation | None
) -> Iterator[Step]:
    candidate = state.replicas[number]
    for voter_number, voter in enumerate(state.replicas):
        term = max(candidate.term, voter.term) + 1
        if voter_number == number or term >= len(state.leader_logs):
            continue
        if state.leader_logs[term] is not None:
            continue
        voter_is_newer = _up_to_date_key(voter.log) > _up_to_date_key(candidate.log)
        if voter_is_newer and mutation is not Mutation.VOTE_FOR_OLDER_LOG:
            continue
        label = f"elect({number},{voter_number},{term})"
        yield label, elect(state, number, voter_number, term)


def elect(state: State, number: int, voter_number: int, term: int) -> State:
    """Elect replica ``number`` leader of ``term`` by the vote of ``voter_number``."""
    candidate = state.replicas[number]._replace(term=term, leads=True)
    voter = state.replicas[voter_number]._replace(term=term, leads=False)
    leader_logs = (
        *state.leader_logs[:term],
        candidate.log,
        *state.leader_logs[term + 1 :],
    )
    elected = _with_replica(state._replace(leader_logs=leader_logs), number, candidate)
    return _with_replica(elected, voter_number, voter)


def append(state: State, number: int) -> State:
    """Leader ``number`` appends an entry and sends it before syncing it."""
    leader = state.replicas[number]
    log = (*leader.log, leader.term)
    leader_logs = (
        *state.leader_logs[: leader.term],
        log,
        *state.leader_logs[leader.term + 1 :],
    )
    return _with_replica(
        state._replace(leader_logs=leader_logs), number, leader._replace(log=log)
    )


def sync(state: State, number: int) -> State:
    """Replica ``number`` syncs its log."""
    replica = state.replicas[number]
    return _with_replica(
        state, number, replica._replace(synced_length=len(replica.log))
    )


def crash(state: State, number: int) -> State:
    """Replica ``number`` restarts with the entries that it had synced."""
    replica = state.replicas[number]
    kept = replica._replace(leads=False, log=replica.log[: replica.synced_length])
    return _with_replica(state, number, kept)


def _receive_steps(
    state: State, number: int, mutation: Mutation | None
) -> Iterator[Step]:
    replica = state.replicas[number]
    for term, log in enumerate(state.leader_logs):
        if log is None or (replica.leads and term == replica.term):
            continue
        if term < replica.term and mutation is not Mutation.ACCEPT_OLD_TERM:
            continue
        for length in range(len(log) + 1):
            received = receive(state, number, term, length, mutation)
            if received != state:
                yield f"receive({number},{term},{length})", received


def receive(
    state: State,
    number: int,
    term: int,
    length: int,
    mutation: Mutation | None = None,
) -> State:
    """Replica ``number`` receives ``length`` entries of the leader of ``term``.

    It truncates its own log only on a conflict, then syncs and acknowledges.
    """
    replica = state.replicas[number]
    prefix = (state.leader_logs[term] or ())[:length]
    log = prefix
    if replica.log[:length] == prefix:
        truncates = mutation is Mutation.TRUNCATE_ON_LATE_MESSAGE
        log = prefix if truncates else replica.log
    synced_length = len(log)
    if mutation is Mutation.ACK_BEFORE_FSYNC:
        synced_length = min(replica.synced_length, _common_length(replica.log, log))
    acks = state.acks[term]
    longest = max(acks[number], length)
    acks = (*acks[:number], longest, *acks[number + 1 :])
    all_acks = (*state.acks[:term], acks, *state.acks[term + 1 :])
    follower = Replica(max(term, replica.term), False, log, synced_length)
    return _with_replica(state._replace(acks=all_acks), number, follower)


def _common_length(left: Log, right: Log) -> int:
    pairs = zip(left, right, strict=False)
    return sum(1 for _ in itertools.takewhile(lambda pair: pair[0] == pair[1], pairs))


def _commit_steps(
    state: State, number: int, mutation: Mutation | None
) -> Iterator[Step]:
    leader = state.replicas[number]
    needed_count = 1 if mutation is Mutation.COMMIT_ON_ONE else MAJORITY
    for length in range(1, len(leader.log) + 1):
        own_term = leader.log[length - 1] == leader.term
        if not own_term and mutation is not Mutation.COMMIT_OLD_TERM:
            continue
        other_count = sum(
            acked >= length
            for other, acked in enumerate(state.acks[leader.term])
            if other != number
        )
        if other_count + (leader.synced_length >= length) >= needed_count:
            committed = commit(state, leader.log[:length], leader.term)
            if committed != state:
                yield f"commit({number},{length})", committed


def commit(state: State, log: Log, term: int) -> State:
    """Commit ``log`` in ``term``, recording a conflict with committed entries."""
    shared = min(len(log), len(state.committed))
    if log[:shared] != state.committed[:shared]:
        return state._replace(conflict=True)
    if len(log) <= len(state.committed):
        return state
    return state._replace(committed=log, commit_term=term)
