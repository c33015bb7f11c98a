"""Model of configuration versions at replicas, zones and routers.

A replica holds a synced log of versions and an index of the committed ones, which it
loses on a restart.  It sends routers only versions that it knows to be committed, and
durably records the highest one sent.  A router accepts only higher versions; after a
restart it becomes ready once the replica of its zone has sent it a version.  Two
operators submit changes concurrently with the same expected version.

Examples
--------
>>> import minicheck
>>> checked = minicheck.check_safety(make_model(version_count=1))
>>> checked["exhaustive"], checked["properties"]["version_never_falls"]["holds"]
(True, True)
"""

import enum
import typing
from collections.abc import Iterator

import minicheck

NOT_READY = 0


class Mutation(enum.StrEnum):
    """Protocol faults; the checker must find a counterexample to each."""

    TAKE_ANY_VERSION = "take_any_version"
    TELL_UNCOMMITTED = "tell_uncommitted"
    ANSWER_BEFORE_CATCH_UP = "answer_before_catch_up"
    IGNORE_EXPECTED_VERSION = "ignore_expected_version"


class Zone(typing.NamedTuple):
    """The replica and the router of one zone.

    Attributes
    ----------
    logged_version, committed_version, told_version : int
        Highest version in the replica's log, highest one that it knows to be
        committed, and highest one durably recorded as sent to routers.
    in_force : int
        Version that the router uses; 0 while it is not ready.
    highest_in_force : int
        Highest version that the router has ever used.
    """

    logged_version: int = 0
    committed_version: int = 0
    told_version: int = 0
    in_force: int = NOT_READY
    highest_in_force: int = 0


class State(typing.NamedTuple):
    """The changes in the order of their versions, and the zones.

    Attributes
    ----------
    changes : tuple of (int, int)
        Operator and expected version of each change, by version.
    expected : tuple of int
        Version last read by each operator.
    committed : int
        Number of committed changes.
    zones : tuple of Zone
        Replica and router of each zone.
    messages : frozenset of (int, int)
        Zone and version of each message to a router; may arrive late.
    """

    changes: tuple[tuple[int, int], ...]
    expected: tuple[int, ...]
    committed: int
    zones: tuple[Zone, ...]
    messages: frozenset[tuple[int, int]]


Step = tuple[str, State]


def make_model(
    version_count: int = 2, zone_count: int = 1, mutation: Mutation | None = None
) -> minicheck.Protocol:
    """Return the model with at most ``version_count`` accepted changes."""
    initial = State((), (0, 0), 0, (Zone(),) * zone_count, frozenset())

    def transitions(packed: tuple) -> list[Step]:
        state = State(*packed)
        steps = list(_operator_steps(state, version_count, mutation))
        for number in range(zone_count):
            steps += _replica_steps(state, number, mutation)
            steps += _router_steps(state, number, mutation)
        return steps

    return minicheck.Protocol(
        name="versions",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=transitions,
        invariants={
            "version_never_falls": _version_never_falls,
            "only_committed_in_force": _only_committed_in_force,
            "one_winner_a_version": _one_winner_a_version,
        },
    )


def _version_never_falls(state: dict) -> bool:
    return all(
        zone.in_force in (NOT_READY, zone.highest_in_force) for zone in state["zones"]
    )


def _only_committed_in_force(state: dict) -> bool:
    return all(zone.in_force <= state["committed"] for zone in state["zones"])


def _one_winner_a_version(state: dict) -> bool:
    expected = [version for _, version in state["changes"]]
    return len(expected) == len(set(expected))


def _operator_steps(
    state: State, version_count: int, mutation: Mutation | None
) -> Iterator[Step]:
    version = len(state.changes)
    for operator, seen in enumerate(state.expected):
        if seen != version:
            expected_versions = (
                *state.expected[:operator],
                version,
                *state.expected[operator + 1 :],
            )
            yield f"read({operator})", state._replace(expected=expected_versions)
        wins = seen == version or mutation is Mutation.IGNORE_EXPECTED_VERSION
        if wins and version < version_count:
            changes = (*state.changes, (operator, seen))
            yield f"propose({operator})", state._replace(changes=changes)
    if state.committed < version:
        yield "commit", state._replace(committed=state.committed + 1)


def _with_zone(state: State, number: int, zone: Zone) -> State:
    zones = (*state.zones[:number], zone, *state.zones[number + 1 :])
    return state._replace(zones=zones)


def _replica_steps(
    state: State, number: int, mutation: Mutation | None
) -> Iterator[Step]:
    zone = state.zones[number]
    if zone.logged_version < len(state.changes):
        appended = zone._replace(logged_version=zone.logged_version + 1)
        yield f"append({number})", _with_zone(state, number, appended)
    if zone.committed_version < min(zone.logged_version, state.committed):
        learned = zone._replace(committed_version=zone.committed_version + 1)
        yield f"learn_commit({number})", _with_zone(state, number, learned)
    version = zone.committed_version
    if mutation is Mutation.TELL_UNCOMMITTED:
        version = zone.logged_version
    caught_up = (
        version >= zone.told_version or mutation is Mutation.ANSWER_BEFORE_CATCH_UP
    )
    if version and caught_up:
        updated = zone._replace(told_version=max(version, zone.told_version))
        messages = state.messages | {(number, version)}
        yield (
            f"tell({number})",
            _with_zone(state, number, updated)._replace(messages=messages),
        )
    restarted = zone._replace(committed_version=0)
    yield f"restart_replica({number})", _with_zone(state, number, restarted)


def _router_steps(
    state: State, number: int, mutation: Mutation | None
) -> Iterator[Step]:
    zone = state.zones[number]
    for receiving_zone, version in state.messages:
        higher = version > zone.in_force or mutation is Mutation.TAKE_ANY_VERSION
        if receiving_zone == number and higher and zone.in_force != NOT_READY:
            yield f"take({number},{version})", _take(state, number, version)
    if zone.in_force != NOT_READY:
        restarted = zone._replace(in_force=NOT_READY)
        yield f"restart_router({number})", _with_zone(state, number, restarted)
    skips_catch_up = mutation is Mutation.ANSWER_BEFORE_CATCH_UP
    if (
        zone.in_force == NOT_READY
        and zone.committed_version
        and (zone.committed_version >= zone.told_version or skips_catch_up)
    ):
        updated = _with_zone(
            state,
            number,
            zone._replace(told_version=max(zone.committed_version, zone.told_version)),
        )
        yield f"ask({number})", _take(updated, number, zone.committed_version)


def _take(state: State, number: int, version: int) -> State:
    zone = state.zones[number]
    highest_in_force = max(version, zone.highest_in_force)
    updated = zone._replace(in_force=version, highest_in_force=highest_in_force)
    return _with_zone(state, number, updated)
