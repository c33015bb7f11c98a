"""Model of leader election: terms, votes and leaders among three replicas.

Messages are never removed once sent, so each may be delivered late, several times
or never.  Answers of a candidate may carry its term before the candidate has synced
it, so a replica may learn of any term.  A crash keeps only what was synced.  Logs
are not modelled; see :mod:`spec.replication`.

Examples
--------
>>> import minicheck
>>> checked = minicheck.check_safety(make_model(term_count=1))
>>> checked["exhaustive"], checked["properties"]["one_leader_a_term"]["holds"]
(True, True)
"""

import enum
import typing
from collections.abc import Iterator

import minicheck

REPLICAS = (0, 1, 2)
MAJORITY = 2
NO_VOTE = -1


class Mutation(enum.StrEnum):
    """Protocol faults; the checker must find a counterexample to each."""

    VOTE_WITHOUT_FSYNC = "vote_without_fsync"
    TERM_WITHOUT_FSYNC = "term_without_fsync"
    VOTE_TWICE = "vote_twice"
    EMPTY_DISK_VOTES = "empty_disk_votes"
    COUNT_OLD_TERM_VOTES = "count_old_term_votes"


class Role(enum.IntEnum):
    """Role of a replica in its term; one that lost its disk is excluded."""

    FOLLOWER = 0
    CANDIDATE = 1
    LEADER = 2
    EXCLUDED = 3


class Replica(typing.NamedTuple):
    """Term and vote in memory and on disk."""

    role: Role = Role.FOLLOWER
    term: int = 0
    voted_for: int = NO_VOTE
    synced_term: int = 0
    synced_vote: int = NO_VOTE


class Grant(typing.NamedTuple):
    """A vote for ``candidate``, sent by ``voter``."""

    term: int
    candidate: int
    voter: int


class State(typing.NamedTuple):
    """Replicas, messages sent so far, and the leaders of all terms so far."""

    replicas: tuple[Replica, ...]
    requests: frozenset[tuple[int, int]]
    grants: frozenset[Grant]
    leaders: frozenset[tuple[int, int]]
    disk_lost: bool


Step = tuple[str, State]


def make_model(
    term_count: int = 2, mutation: Mutation | None = None
) -> minicheck.Protocol:
    """Return the model with terms up to ``term_count``."""
    nothing: frozenset = frozenset()
    initial = State((Replica(),) * len(REPLICAS), nothing, nothing, nothing, False)

    def transitions(packed: tuple) -> list[Step]:
        return list(steps_from(State(*packed), term_count, mutation))

    return minicheck.Protocol(
        name="elections",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=transitions,
        invariants={"one_leader_a_term": _one_leader_a_term},
    )


def _one_leader_a_term(state: dict) -> bool:
    terms = [term for term, _ in state["leaders"]]
    return len(terms) == len(set(terms))


def steps_from(
    state: State, term_count: int, mutation: Mutation | None = None
) -> Iterator[Step]:
    """Yield each step that the protocol allows in ``state``."""
    for number, replica in enumerate(state.replicas):
        if replica.role is Role.EXCLUDED:
            continue
        if replica.role is not Role.LEADER and replica.term < term_count:
            yield f"start_election({number})", start_election(state, number)
        for term in range(replica.term + 1, term_count + 1):
            yield f"observe({number},{term})", observe_term(state, number, term)
        yield from _vote_steps(state, number, mutation)
        if _has_majority(state, number, mutation):
            yield f"become_leader({number})", become_leader(state, number)
        yield f"crash({number})", crash(state, number)
        if not state.disk_lost:
            yield f"lose_disk({number})", lose_disk(state, number, mutation)


def _vote_steps(state: State, number: int, mutation: Mutation | None) -> Iterator[Step]:
    replica = state.replicas[number]
    for term, candidate in state.requests:
        if candidate == number or term < replica.term:
            continue
        may_vote = term > replica.term or replica.voted_for in (NO_VOTE, candidate)
        if may_vote or mutation is Mutation.VOTE_TWICE:
            granted = grant_vote(state, number, term, candidate, mutation)
            yield f"grant({number},{term},{candidate})", granted


def _with_replica(state: State, number: int, replica: Replica) -> State:
    replicas = (*state.replicas[:number], replica, *state.replicas[number + 1 :])
    return state._replace(replicas=replicas)


def start_election(state: State, number: int) -> State:
    """Replica ``number`` votes for itself in the next term and requests votes."""
    term = state.replicas[number].term + 1
    candidate = Replica(Role.CANDIDATE, term, number, term, number)
    requests = state.requests | {(term, number)}
    return _with_replica(state._replace(requests=requests), number, candidate)


def observe_term(state: State, number: int, term: int) -> State:
    """Replica ``number`` learns of a higher term and becomes a follower in it."""
    follower = Replica(Role.FOLLOWER, term, NO_VOTE, term, NO_VOTE)
    return _with_replica(state, number, follower)


def grant_vote(
    state: State,
    number: int,
    term: int,
    candidate: int,
    mutation: Mutation | None = None,
) -> State:
    """Replica ``number`` syncs its vote and then sends it."""
    before = state.replicas[number]
    role = before.role if term == before.term else Role.FOLLOWER
    voter = Replica(role, term, candidate, term, candidate)
    if mutation is Mutation.VOTE_WITHOUT_FSYNC:
        kept_vote = before.synced_vote if before.synced_term == term else NO_VOTE
        voter = voter._replace(synced_vote=kept_vote)
    if mutation is Mutation.TERM_WITHOUT_FSYNC:
        voter = voter._replace(
            synced_term=before.synced_term, synced_vote=before.synced_vote
        )
    grants = state.grants | {Grant(term, candidate, number)}
    return _with_replica(state._replace(grants=grants), number, voter)


def _has_majority(state: State, number: int, mutation: Mutation | None) -> bool:
    replica = state.replicas[number]
    if replica.role is not Role.CANDIDATE:
        return False
    any_term = mutation is Mutation.COUNT_OLD_TERM_VOTES
    voters = {
        grant.voter
        for grant in state.grants
        if grant.candidate == number and (any_term or grant.term == replica.term)
    }
    return len(voters | {number}) >= MAJORITY


def become_leader(state: State, number: int) -> State:
    """Replica ``number`` has a majority of the votes of its term and leads it."""
    replica = state.replicas[number]
    leaders = state.leaders | {(replica.term, number)}
    led = state._replace(leaders=leaders)
    return _with_replica(led, number, replica._replace(role=Role.LEADER))


def crash(state: State, number: int) -> State:
    """Replica ``number`` restarts with the term and vote that it had synced."""
    replica = state.replicas[number]
    restarted = Replica(
        Role.FOLLOWER,
        replica.synced_term,
        replica.synced_vote,
        replica.synced_term,
        replica.synced_vote,
    )
    return _with_replica(state, number, restarted)


def lose_disk(state: State, number: int, mutation: Mutation | None = None) -> State:
    """Replica ``number`` restarts with an empty disk and is excluded from voting."""
    votes = mutation is Mutation.EMPTY_DISK_VOTES
    empty = Replica(Role.FOLLOWER if votes else Role.EXCLUDED)
    return _with_replica(state._replace(disk_lost=True), number, empty)
