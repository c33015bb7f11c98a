"""Parts of prompts that crash the backend servers that begin to answer them.

Answers a load of requests that share a part which crashes servers and that are
otherwise all different, sent to any router, among sound requests that share everything
else with them.  A crash ends all requests of a server, most of them sound, so it speaks
against every shared part of the requests that were lost before their response had made
progress.  Progress of any request that holds a part clears the part.  Of those left, as
few as possible are blocked: each blocked part has to explain several crashes that no
other blocked part explains, and parts that were cleared shortly before come last.

The evidence is a grow-only set of crashes with a time of the last clearance for each
part, so that routers and replicas may merge it in any order and any number of times.
Times are on a clock that includes time suspended.
"""

import collections
import dataclasses
from collections.abc import Iterable

# Two sound requests that are resumed side by side see the same two crashes.
MIN_CRASHES_COUNT = 3
# A single request that is sent again may crash servers by itself.
MIN_REQUESTS_COUNT = 2
# A part in as many crashes that is refused stays so, whatever else explains them: it
# gets no further crashes, while sound parts do.
KEPT_CRASHES_COUNT = 5
# Losses on one server within this time belong to one crash.
SAME_CRASH_S = 2.0
# Other crashes that a part may have been in by chance, before a later one is known.
CLEAR_MARGIN_COUNT = 2
# A part that progressed this shortly before its first crash is probably sound.
TRUST_S = 60.0
# Servers lost together, with an availability zone, say little against such a part.
TRUSTED_SPAN_S = 3.0
# Keeps crashes of a part that is asked for once a day.
RETENTION_S = 7 * 86_400.0
# Of parts that no crash speaks against any more.
CLEARED_RETENTION_S = 3_600.0
# A part in more crashes, trials included, is released by progress or an operator only.
MAX_TRIED_CRASHES_COUNT = 7
# When one request with a blocked part is let through, and the growth of later waits.
TRIAL_AFTER_S = 60.0
TRUSTED_TRIAL_AFTER_S = 2.0
TRIAL_BACKOFF = 4
# A popular part is tried at once; a rare one may not come to the chosen router.
TRIAL_LIFETIME_S = 10.0
MAX_PARTS_COUNT = 4_096
MAX_CLEARED_PARTS_COUNT = 8_192
MAX_CRASHES_PER_PART = 16
MAX_REQUESTS_PER_PART = 8
MAX_EARLIER_PARTS_COUNT = 8

# A service and the id of a part; equal parts are judged apart for each service.
PartKey = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The end of a server that lost requests."""

    server_id: str
    at_s: float


@dataclasses.dataclass(slots=True)
class Evidence:
    """What is known of one part at one service.

    Attributes
    ----------
    crashes : list of Crash
        Crashes that lost a request with the part, oldest first.
    request_keys : set of int
        Hashes of requests with the part that were lost, a few of them.
    earlier_part_ids : set of str
        Parts that precede it in the prompts of those requests.
    cleared_at_s : float
        When a request with the part last made progress.
    refused_at_s : float
        When a request was last refused because of the part.
    trials_count : int
        Requests with the part that were let through while it was blocked.
    tried_at_s : float
        When the last of them was allowed.
    """

    crashes: list[Crash] = dataclasses.field(default_factory=list)
    request_keys: set[int] = dataclasses.field(default_factory=set)
    earlier_part_ids: set[str] = dataclasses.field(default_factory=set)
    cleared_at_s: float = float("-inf")
    refused_at_s: float = float("-inf")
    trials_count: int = 0
    tried_at_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class CrashingParts:
    """All evidence that a process holds, least recently changed first.

    Attributes
    ----------
    evidence : collections.OrderedDict
        :class:`Evidence` by :data:`PartKey`.
    accusable_keys : set
        Parts with enough crashes to be blocked, unless they made progress since.
    cleared_at_s : collections.OrderedDict
        When parts last made progress at this router, by :data:`PartKey`.
    blocked : dict
        Services whose servers a part crashes, by the id of the part.
    trials : dict
        Until when one request with a blocked part may be sent by this router, by
        :data:`PartKey`.
    """

    evidence: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    accusable_keys: set[PartKey] = dataclasses.field(default_factory=set)
    cleared_at_s: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    blocked: dict[str, frozenset[str]] = dataclasses.field(default_factory=dict)
    trials: dict[PartKey, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Parts that are newly blocked, and parts that are not blocked any more."""

    blocked: tuple[PartKey, ...] = ()
    released: tuple[PartKey, ...] = ()


def record_loss(
    state: CrashingParts,
    service_name: str,
    part_ids: tuple[str, ...],
    request_key: int,
    crash: Crash,
) -> list[PartKey]:
    """Record that a crash lost a request before its response had made progress.

    Returns
    -------
    list of PartKey
        The parts whose evidence has changed.

    Examples
    --------
    >>> state = CrashingParts()
    >>> for number, server_id in enumerate(("a", "b", "c")):
    ...     parts = ("all", "bad")
    ...     _ = record_loss(state, "llm", parts, number, Crash(server_id, 0.5 * number))
    >>> update_blocked(state).blocked
    (('llm', 'bad'),)
    >>> find_blocked(state, "llm", ("all", "bad")), find_blocked(state, "llm", ("all",))
    ('bad', None)
    >>> record_progress(state, "llm", ("all", "bad"), 9.0)
    [('llm', 'all'), ('llm', 'bad')]
    >>> update_blocked(state).released
    (('llm', 'bad'),)
    """
    changed = []
    for position, part_id in enumerate(part_ids):
        key = (service_name, part_id)
        found = Evidence(
            [crash],
            {request_key},
            set(part_ids[:position]),
            state.cleared_at_s.get(key, float("-inf")),
        )
        if merge(state, key, found):
            changed.append(key)
    return changed


def merge(state: CrashingParts, key: PartKey, found: Evidence) -> bool:
    """Add evidence to what is known; return whether it says anything new."""
    known = state.evidence.setdefault(key, Evidence())
    state.evidence.move_to_end(key)
    new_crashes = [
        crash for crash in found.crashes if not _contains(known.crashes, crash)
    ]
    crashes = sorted([*known.crashes, *new_crashes], key=lambda crash: crash.at_s)
    is_new = bool(new_crashes) or found.cleared_at_s > known.cleared_at_s
    known.crashes = crashes[-MAX_CRASHES_PER_PART:]
    if len(known.crashes) >= MIN_CRASHES_COUNT:
        state.accusable_keys.add(key)
    _add_bounded(known.request_keys, found.request_keys, MAX_REQUESTS_PER_PART)
    _add_bounded(
        known.earlier_part_ids, found.earlier_part_ids, MAX_EARLIER_PARTS_COUNT
    )
    known.cleared_at_s = max(known.cleared_at_s, found.cleared_at_s)
    is_new |= found.trials_count > known.trials_count
    known.refused_at_s = max(known.refused_at_s, found.refused_at_s)
    known.trials_count = max(known.trials_count, found.trials_count)
    known.tried_at_s = max(known.tried_at_s, found.tried_at_s)
    _evict(state)
    return is_new


def _add_bounded(known: set, found: set, max_count: int) -> None:
    for item in found:
        if len(known) >= max_count:
            return
        known.add(item)


def _evict(state: CrashingParts) -> None:
    """Drop parts that are not blocked, least recently changed first."""
    while len(state.evidence) > MAX_PARTS_COUNT:
        key = next(iter(state.evidence))
        if is_blocked(state, key):
            state.evidence.move_to_end(key)
            key = next(iter(state.evidence))
        _forget(state, key)


def _forget(state: CrashingParts, key: PartKey) -> None:
    del state.evidence[key]
    state.accusable_keys.discard(key)


def record_progress(
    state: CrashingParts,
    service_name: str,
    part_ids: tuple[str, ...],
    now_s: float,
) -> list[PartKey]:
    """Record that the response to a request with some parts has made progress.

    Returns
    -------
    list of PartKey
        The parts among them that a crash speaks against, for the other routers.
    """
    suspects = []
    for part_id in part_ids:
        key = (service_name, part_id)
        state.cleared_at_s[key] = now_s
        state.cleared_at_s.move_to_end(key)
        known = state.evidence.get(key)
        if known is not None and crashes_since_progress(known):
            known.cleared_at_s = now_s
            suspects.append(key)
    while len(state.cleared_at_s) > MAX_CLEARED_PARTS_COUNT:
        state.cleared_at_s.popitem(last=False)
    return suspects


def add_own_progress(state: CrashingParts, key: PartKey) -> bool:
    """Apply this router's progress to merged evidence; return whether it was later."""
    known = state.evidence[key]
    own_s = state.cleared_at_s.get(key, float("-inf"))
    if own_s <= known.cleared_at_s:
        return False
    known.cleared_at_s = own_s
    return True


def crashes_since_progress(known: Evidence) -> list[Crash]:
    """Return the crashes that speak against a part."""
    return [crash for crash in known.crashes if crash.at_s > known.cleared_at_s]


def update_blocked(state: CrashingParts) -> Change:
    """Decide anew which parts are blocked, and return what has changed."""
    blocked: dict[str, frozenset[str]] = {}
    accusable = {key: state.evidence[key] for key in state.accusable_keys}
    for service_name, part_id in _find_crashing(accusable):
        names = blocked.get(part_id, frozenset())
        blocked[part_id] = names | {service_name}
    before, after = _pairs(state.blocked), _pairs(blocked)
    state.blocked = blocked
    return Change(tuple(sorted(after - before)), tuple(sorted(before - after)))


def _pairs(blocked: dict[str, frozenset[str]]) -> set[PartKey]:
    return {(name, part_id) for part_id, names in blocked.items() for name in names}


def _find_crashing(evidence: dict[PartKey, Evidence]) -> list[PartKey]:
    """Return the parts to block: as few as explain the crashes, the likeliest first."""
    accused = {
        key: crashes
        for key, known in evidence.items()
        if len(known.request_keys) >= MIN_REQUESTS_COUNT
        and len(crashes := crashes_since_progress(known)) >= MIN_CRASHES_COUNT
    }
    counts = {key: len(crashes) for key, crashes in accused.items()}
    yielding = _find_yielding(evidence, accused)

    def likelihood(key: PartKey) -> tuple:
        known = evidence[key]
        rank = max(
            [counts[key], *(counts[general] for general in yielding.get(key, ()))]
        )
        is_yielding = any(key in generals for generals in yielding.values())
        requests_count = len(known.request_keys)
        is_new = not _is_kept(known)
        return is_new, _is_trusted(known), -rank, is_yielding, -requests_count, key

    explained: dict[str, list[Crash]] = collections.defaultdict(list)
    found = []
    for key in sorted(accused, key=likelihood):
        others = explained[key[0]]
        own = [crash for crash in accused[key] if not _contains(others, crash)]
        if not _is_kept(evidence[key]) and not _speak_against(own, evidence[key]):
            continue
        found.append(key)
        others.extend(accused[key])
    return found


def _speak_against(crashes: list[Crash], known: Evidence) -> bool:
    """Return whether crashes that nothing else explains are enough to block a part."""
    if len(crashes) < MIN_CRASHES_COUNT:
        return False
    span_s = crashes[-1].at_s - crashes[0].at_s
    return not _is_trusted(known) or span_s >= TRUSTED_SPAN_S


def _find_yielding(
    evidence: dict[PartKey, Evidence], accused: dict[PartKey, list[Crash]]
) -> dict[PartKey, list[PartKey]]:
    """Return the parts that are blocked only after later ones, by later part.

    Fewer callers share a later part, so it is blocked first, unless the part before it
    explains several crashes that the later ones don't.
    """
    later_keys: dict[PartKey, list[PartKey]] = {}
    for key in accused:
        if _is_trusted(evidence[key]):
            continue
        for part_id in evidence[key].earlier_part_ids:
            earlier = (key[0], part_id)
            if earlier in accused and not _is_trusted(evidence[earlier]):
                later_keys.setdefault(earlier, []).append(key)
    found: dict[PartKey, list[PartKey]] = {}
    for earlier, keys in later_keys.items():
        explained = [crash for key in keys for crash in accused[key]]
        own = [crash for crash in accused[earlier] if not _contains(explained, crash)]
        if len(own) < CLEAR_MARGIN_COUNT:
            for key in keys:
                found.setdefault(key, []).append(earlier)
    return found


def _is_kept(known: Evidence) -> bool:
    """Return whether a part that was blocked is released by progress only."""
    has_been_refused = known.refused_at_s > known.cleared_at_s
    return has_been_refused and len(crashes_since_progress(known)) >= KEPT_CRASHES_COUNT


def _is_trusted(known: Evidence) -> bool:
    first = crashes_since_progress(known)[0]
    return first.at_s - known.cleared_at_s < TRUST_S


def _contains(crashes: list[Crash], crash: Crash) -> bool:
    return any(
        other.server_id == crash.server_id
        and abs(other.at_s - crash.at_s) < SAME_CRASH_S
        for other in crashes
    )


def is_blocked(state: CrashingParts, key: PartKey) -> bool:
    """Return whether a part is blocked because of crashes at a service."""
    return key[0] in state.blocked.get(key[1], ())


def find_blocked(
    state: CrashingParts, service_name: str, part_ids: Iterable[str]
) -> str | None:
    """Return the first part that must not be sent to a service's servers.

    A part that crashes the servers of one service is kept from those of another one
    too, unless a request with it has made progress there.
    """
    if not state.blocked:
        return None
    for part_id in part_ids:
        services = state.blocked.get(part_id)
        if services is None:
            continue
        if (
            service_name in services
            or (service_name, part_id) not in state.cleared_at_s
        ):
            return part_id
    return None


def due_trials(state: CrashingParts, now_s: float) -> list[PartKey]:
    """Return the blocked parts of which one request should be let through now.

    One process calls this for all routers.  A part may be blocked by chance, or may
    have become harmless, and nothing else would show it; each further trial of a part
    waits much longer than the one before, and their number is bounded.

    Examples
    --------
    >>> state = CrashingParts()
    >>> for number in range(3):
    ...     _ = record_loss(state, "llm", ("bad",), number, Crash(f"s{number}", 0.0))
    >>> _ = update_blocked(state)
    >>> [bool(due_trials(state, now_s)) for now_s in (59.0, 61.0, 99.0, 300.0, 302.0)]
    [False, True, False, False, True]
    """
    due = []
    for key in _pairs(state.blocked):
        known = state.evidence[key]
        if len(crashes_since_progress(known)) > MAX_TRIED_CRASHES_COUNT:
            continue
        has_progressed = known.cleared_at_s > float("-inf")
        first_s = TRUSTED_TRIAL_AFTER_S if has_progressed else TRIAL_AFTER_S
        wait_s = first_s * TRIAL_BACKOFF**known.trials_count
        since_s = max(known.crashes[-1].at_s, known.tried_at_s)
        if now_s - since_s >= wait_s:
            known.trials_count += 1
            known.tried_at_s = now_s
            due.append(key)
    return sorted(due)


def allow_trial(state: CrashingParts, key: PartKey, now_s: float) -> None:
    """Let the next request with a blocked part through, if it comes soon."""
    state.trials[key] = now_s + TRIAL_LIFETIME_S


def use_trial(
    state: CrashingParts, service_name: str, part_ids: Iterable[str], now_s: float
) -> bool:
    """Return whether a request with blocked parts may be sent; use up the trials."""
    keys = {
        (name, part_id)
        for part_id in part_ids
        for name in state.blocked.get(part_id, ())
        if find_blocked(state, service_name, [part_id]) is not None
    }
    if not all(state.trials.get(key, now_s) > now_s for key in keys):
        return False
    for key in keys:
        del state.trials[key]
    return True


def record_refusal(state: CrashingParts, part_id: str, now_s: float) -> list[PartKey]:
    """Record that a request was refused because of a part; return the blocked keys."""
    keys = [(name, part_id) for name in state.blocked.get(part_id, ())]
    for key in keys:
        state.evidence[key].refused_at_s = now_s
    return keys


def is_suspect(
    state: CrashingParts, service_name: str, part_ids: Iterable[str]
) -> bool:
    """Return whether one more crash might block a part that was not trusted before."""
    for part_id in part_ids:
        known = state.evidence.get((service_name, part_id))
        if known is None or not (crashes := crashes_since_progress(known)):
            continue
        if len(crashes) >= MIN_CRASHES_COUNT - 1 and not _is_trusted(known):
            return True
    return False


def is_shared_evidence(known: Evidence) -> bool:
    """Return whether a part has been in several crashes, which others should know.

    Most parts of lost requests are in a single crash, so that few parts are told.
    """
    return len(known.crashes) > 1


def release(state: CrashingParts, key: PartKey, now_s: float) -> bool:
    """Release a part on an operator's request; return whether it was blocked."""
    if not is_blocked(state, key):
        return False
    state.evidence[key].cleared_at_s = now_s
    return True


def remove_expired(
    state: CrashingParts, now_s: float, retention_s: float = RETENTION_S
) -> None:
    """Forget parts that neither crashed a server nor were refused for long."""

    def is_expired(known: Evidence) -> bool:
        seen_s = max(known.refused_at_s, known.crashes[-1].at_s)
        is_cleared = not crashes_since_progress(known)
        limit_s = CLEARED_RETENTION_S if is_cleared else retention_s
        return now_s - seen_s > limit_s

    expired = [key for key, known in state.evidence.items() if is_expired(known)]
    for key in expired:
        _forget(state, key)
