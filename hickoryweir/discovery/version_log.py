"""Access of routers and of the leading replica to the record of software versions."""

import dataclasses
import math
from collections.abc import Callable, Iterable

from returns import result

from hickoryweir.discovery import listing, version_record
from hickoryweir.forwarding_policy import stream_versions
from hickoryweir.observability import logs
from hickoryweir.replicas import client, machine

# A commit takes tens of milliseconds; longer, and the list would reach routers late.
RECORD_TIMEOUT_S = 0.3
READ_TIMEOUT_S = 0.5
# Lists further apart do not show which versions were listed between them.
MAX_LISTS_GAP_S = 3.0

Pairs = frozenset[tuple[str, str]]


class VersionLog:
    """A router's access to the record.

    Parameters
    ----------
    log : client.Client
        Client of the log.
    """

    def __init__(self, log: client.Client) -> None:
        self._log = log

    async def read(self) -> Pairs | None:
        """Return the versions recorded at the time of the call, or later.

        None if the log does not answer, or its leader keeps no record since it is of an
        earlier build.
        """
        outcome = await self._log.read(version_record.ReadVersions(), READ_TIMEOUT_S)
        return _pairs_in(outcome)

    async def record(self, pairs: Pairs) -> bool:
        """Record versions; return whether streams may begin at them.

        With a leader of an earlier build they may, since it can keep no record.
        """
        outcome = await self._log.read(version_record.ReadVersions(), READ_TIMEOUT_S)
        if isinstance(outcome.value_or(None), machine.CommandUnknown):
            return True
        known = _pairs_in(outcome)
        if known is None:
            return False
        missing = pairs - known
        return not missing or await _propose(self._log, missing)


def _pairs_in(outcome: result.Result) -> Pairs | None:
    found = outcome.value_or(None)
    if not isinstance(found, version_record.VersionRecord):
        return None
    return version_record.pairs_of(found)


async def _propose(log: client.Client, pairs: Iterable[tuple[str, str]]) -> bool:
    names = sorted(pairs)
    command = version_record.RecordVersions(
        tuple(version_record.ServiceVersion(*pair) for pair in names)
    )
    recorded = _pairs_in(await log.propose(command, RECORD_TIMEOUT_S))
    has_recorded = recorded is not None and recorded.issuperset(names)
    detail = ", ".join(f"{version or 'none'} of {name}" for name, version in names)
    if has_recorded:
        logs.info("software versions recorded", logs.Fields(detail=detail))
    else:
        logs.warning("software versions not recorded", logs.Fields(detail=detail))
    return has_recorded


@dataclasses.dataclass(slots=True)
class Absence:
    """Since when a recorded version is not listed, and how long its streams may live.

    Attributes
    ----------
    lifetime_s : float
        The longest one since then, as tables may change.
    """

    since_s: float
    lifetime_s: float


@dataclasses.dataclass(slots=True)
class Absences:
    """Recorded versions that the lists of one leader did not have."""

    by_pair: dict[tuple[str, str], Absence] = dataclasses.field(default_factory=dict)
    read_at_s: float = -math.inf


def find_expired(
    state: Absences,
    recorded: Pairs,
    server_list: listing.ServerList,
    lifetime_s: Callable[[str], float],
) -> Pairs:
    """Record a list; return the versions of which no stream can be alive any more.

    Parameters
    ----------
    state : Absences
        What earlier lists lacked; changed.
    recorded : frozenset
        The versions in the record.
    server_list : listing.ServerList
        The list.
    lifetime_s : callable
        Returns for how long a service's streams may be resumed.
    """
    read_at_s = server_list.read_at_s
    if read_at_s - state.read_at_s > MAX_LISTS_GAP_S:
        state.by_pair.clear()
    state.read_at_s = read_at_s
    absent = recorded - listing.versions_of(server_list)
    state.by_pair = {
        pair: known for pair, known in state.by_pair.items() if pair in absent
    }
    for pair in absent:
        known = state.by_pair.setdefault(pair, Absence(read_at_s, 0.0))
        known.lifetime_s = max(known.lifetime_s, lifetime_s(pair[0]))
    return frozenset(
        pair
        for pair, known in state.by_pair.items()
        if read_at_s - known.since_s > known.lifetime_s
    )


class Recorder:
    """Keeps the record while this replica leads the log.

    Parameters
    ----------
    log : client.Client
        Client of the log.
    read_state : callable
        Returns the submachine's state as applied on this replica.
    lifetime_s : callable
        Returns for how long a service's streams may be resumed after their beginning.
    """

    def __init__(
        self,
        log: client.Client,
        read_state: Callable[[], version_record.State],
        lifetime_s: Callable[[str], float],
    ) -> None:
        self._log = log
        self._read_state = read_state
        self._lifetime_s = lifetime_s
        self._recorded: Pairs = frozenset()
        self._absences = Absences()

    def begin_term(self) -> None:
        """Forget what was listed; others may have recorded versions since then."""
        self._recorded = frozenset()
        self._absences = Absences()

    async def record_new(self, server_list: listing.ServerList) -> None:
        """Record the versions of a list that the routers are about to be sent."""
        listed = stream_versions.recordable(listing.versions_of(server_list))
        self._recorded &= listed
        known = version_record.make_record(self._read_state())
        await self._record(listed - self._recorded - version_record.pairs_of(known))

    async def refresh(self, server_list: listing.ServerList) -> None:
        """Record versions again that are new to this leader, and remove expired ones.

        An earlier leader's late command does not remove what was recorded again.
        """
        listed = stream_versions.recordable(listing.versions_of(server_list))
        await self._record(listed - self._recorded)
        await self._remove_expired(server_list)

    async def _record(self, pairs: Pairs) -> None:
        if pairs and await _propose(self._log, pairs):
            self._recorded |= pairs

    async def _remove_expired(self, server_list: listing.ServerList) -> None:
        known = version_record.make_record(self._read_state())
        recorded = version_record.pairs_of(known)
        expired = find_expired(self._absences, recorded, server_list, self._lifetime_s)
        if not expired:
            return
        removed = tuple(
            item
            for item in known.versions
            if (item.pair.service_name, item.pair.software_version) in expired
        )
        await self._log.propose(
            version_record.RemoveVersions(removed), RECORD_TIMEOUT_S
        )
        detail = ", ".join(f"{version} of {name}" for name, version in sorted(expired))
        logs.info("software versions removed", logs.Fields(detail=detail))
