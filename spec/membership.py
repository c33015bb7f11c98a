"""Model of membership changes, with learners and a replacement replica.

Replicas 0 to 2 are the initial voters; replica 3 is the replacement.  An entry holds
its term and, for a membership change, the new set of voters.  A change takes
effect as soon as its entry is in a log, committed or not.  Elections, late messages
and acknowledgements are as in :mod:`spec.replication`; everything acknowledged is
synced.

Examples
--------
>>> import minicheck
>>> checked = minicheck.check_safety(make_model(term_count=1, log_length=1))
>>> checked["exhaustive"], checked["properties"]["committed_is_kept"]["holds"]
(True, True)
"""

import enum
import itertools
import typing
from collections.abc import Iterator

import minicheck

from spec import log_models

INITIAL_VOTERS = frozenset({0, 1, 2})
REPLACEMENT = 3
REPLICAS = (0, 1, 2, 3)


class Mutation(enum.StrEnum):
    """Protocol faults; the checker must find a counterexample to each."""

    COUNT_LEARNER = "count_learner"
    REPLACE_IN_ONE_STEP = "replace_in_one_step"
    TWO_CHANGES_AT_ONCE = "two_changes_at_once"
    EMPTY_DISK_VOTES = "empty_disk_votes"


class Entry(typing.NamedTuple):
    """A log entry; ``voters`` is None unless it changes the membership."""

    term: int
    voters: frozenset[int] | None = None


Log = tuple[Entry, ...]


class Replica(typing.NamedTuple):
    """One replica; its whole log is synced."""

    term: int = 0
    leads: bool = False
    log: Log = ()


class State(typing.NamedTuple):
    """As :class:`spec.replication.State`; ``wiped`` tells if a disk was wiped."""

    replicas: tuple[Replica, ...]
    leader_logs: tuple[Log | None, ...]
    acks: tuple[tuple[int, ...], ...]
    committed: Log
    commit_term: int
    conflict: bool
    wiped: bool


Step = tuple[str, State]


def make_model(
    term_count: int = 2, log_length: int = 2, mutation: Mutation | None = None
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
        False,
    )

    def transitions(packed: tuple) -> list[Step]:
        return list(steps_from(State(*packed), log_length, mutation))

    return log_models.make_protocol("membership", initial, transitions)


def voters_of(log: Log) -> frozenset[int]:
    """Return the voters according to the latest membership change in ``log``."""
    changes = [entry.voters for entry in log if entry.voters is not None]
    return changes[-1] if changes else INITIAL_VOTERS


def majority_count(voters: frozenset[int]) -> int:
    """Return the size of a quorum of ``voters``."""
    return len(voters) // 2 + 1


def steps_from(
    state: State, log_length: int, mutation: Mutation | None = None
) -> Iterator[Step]:
    """Yield each step that the protocol allows in ``state``."""
    for number, replica in enumerate(state.replicas):
        yield from _election_steps(state, number)
        yield from _receive_steps(state, number)
        if replica.leads:
            yield from _leader_steps(state, number, log_length, mutation)
    if mutation is Mutation.EMPTY_DISK_VOTES and not state.wiped:
        for number in REPLICAS:
            wiped = _with_replica(state._replace(wiped=True), number, Replica())
            yield f"wipe({number})", wiped


def _with_replica(state: State, number: int, replica: Replica) -> State:
    replicas = (*state.replicas[:number], replica, *state.replicas[number + 1 :])
    return state._replace(replicas=replicas)


def _up_to_date_key(log: Log) -> tuple[int, int]:
    return (log[-1].term if log else 0, len(log))


def _election_steps(state: State, number: int) -> Iterator[Step]:
    candidate = state.replicas[number]
    voters = voters_of(candidate.log)
    if number not in voters:
        return
    needed_count = majority_count(voters) - 1
    for voter_numbers in itertools.combinations(
        sorted(voters - {number}), needed_count
    ):
        quorum = [state.replicas[voter_number] for voter_number in voter_numbers]
        term = max(replica.term for replica in (candidate, *quorum)) + 1
        if term >= len(state.leader_logs) or state.leader_logs[term] is not None:
            continue
        if any(
            _up_to_date_key(voter.log) > _up_to_date_key(candidate.log)
            for voter in quorum
        ):
            continue
        yield (
            f"elect({number},{voter_numbers},{term})",
            _elect(state, number, voter_numbers, term),
        )


def _elect(
    state: State, number: int, voter_numbers: tuple[int, ...], term: int
) -> State:
    candidate = state.replicas[number]
    log = (*candidate.log, Entry(term))
    leader_logs = (*state.leader_logs[:term], log, *state.leader_logs[term + 1 :])
    elected = _with_replica(
        state._replace(leader_logs=leader_logs), number, Replica(term, True, log)
    )
    for voter_number in voter_numbers:
        voter = elected.replicas[voter_number]._replace(term=term, leads=False)
        elected = _with_replica(elected, voter_number, voter)
    return elected


def _receive_steps(state: State, number: int) -> Iterator[Step]:
    replica = state.replicas[number]
    for term, log in enumerate(state.leader_logs):
        outdated = term < replica.term or (replica.leads and term == replica.term)
        if log is None or outdated:
            continue
        for length in range(1, len(log) + 1):
            received = _receive(state, number, term, length)
            if received != state:
                yield f"receive({number},{term},{length})", received


def _receive(state: State, number: int, term: int, length: int) -> State:
    replica = state.replicas[number]
    prefix = state.leader_logs[term][:length]
    log = replica.log if replica.log[:length] == prefix else prefix
    acks = state.acks[term]
    acks = (*acks[:number], max(acks[number], length), *acks[number + 1 :])
    all_acks = (*state.acks[:term], acks, *state.acks[term + 1 :])
    follower = Replica(term, False, log)
    return _with_replica(state._replace(acks=all_acks), number, follower)


def _leader_steps(
    state: State, number: int, log_length: int, mutation: Mutation | None
) -> Iterator[Step]:
    leader = state.replicas[number]
    if len(leader.log) < log_length:
        for voters in _next_voters(state, number, mutation):
            entry = Entry(leader.term, voters)
            label = f"change({number},{sorted(voters)})"
            yield label, _append(state, number, entry)
    for length in range(1, len(leader.log) + 1):
        if leader.log[length - 1].term != leader.term:
            continue
        if _has_quorum(state, number, length, mutation):
            committed = _commit(state, leader.log[:length], leader.term)
            if committed != state:
                yield f"commit({number},{length})", committed


def _next_voters(
    state: State, number: int, mutation: Mutation | None
) -> Iterator[frozenset[int]]:
    leader = state.replicas[number]
    allows_concurrent = mutation is Mutation.TWO_CHANGES_AT_ONCE
    if state.committed != leader.log and not allows_concurrent:
        return
    voters = voters_of(leader.log)
    removable = voters - {number}
    if len(voters) > 2:
        yield from (voters - {other} for other in removable)
    if REPLACEMENT in voters:
        return
    caught_up = state.acks[leader.term][REPLACEMENT] >= len(state.committed)
    if caught_up or allows_concurrent:
        yield voters | {REPLACEMENT}
    if mutation is Mutation.REPLACE_IN_ONE_STEP:
        yield from ((voters - {other}) | {REPLACEMENT} for other in removable)


def _append(state: State, number: int, entry: Entry) -> State:
    leader = state.replicas[number]
    log = (*leader.log, entry)
    leader_logs = (
        *state.leader_logs[: leader.term],
        log,
        *state.leader_logs[leader.term + 1 :],
    )
    return _with_replica(
        state._replace(leader_logs=leader_logs), number, leader._replace(log=log)
    )


def _has_quorum(
    state: State, number: int, length: int, mutation: Mutation | None
) -> bool:
    leader = state.replicas[number]
    voters = voters_of(leader.log)
    counted = voters
    if mutation is Mutation.COUNT_LEARNER:
        counted = voters | {REPLACEMENT}
    acks = state.acks[leader.term]
    acked_count = sum(acks[other] >= length for other in counted - {number})
    return acked_count + (number in voters) >= majority_count(voters)


def _commit(state: State, log: Log, term: int) -> State:
    shared = min(len(log), len(state.committed))
    if log[:shared] != state.committed[:shared]:
        return state._replace(conflict=True)
    if len(log) <= len(state.committed):
        return state
    return state._replace(committed=log, commit_term=term)
