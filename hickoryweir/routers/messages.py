"""Messages between routers."""

import dataclasses

from hickoryweir.configuration import stops
from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """The versions the sender holds and has in force; sent on change and as heartbeat.

    ``incarnation`` increases with each start of the process.
    """

    incarnation: int
    held_version: int
    in_force_version: int
    is_ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Request a version newer than ``known_version``; 0 requests the whole text."""

    known_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """A newer version.

    ``content`` is compressed: the whole text if ``base_version`` is 0, else the
    delta from the text of that version.  ``digest`` is the SHA-256 of the whole text.
    """

    version: int
    configuration_version: int
    digest: str
    running_stops: tuple[stops.Stop, ...]
    base_version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReport:
    """State of the routers of an availability zone, as reported by one relay.

    Attributes
    ----------
    availability_zone, computed_by : str
        Zone, and name of the relay that computed the report.
    incarnation, sequence : int
        Of the relay; a higher pair is newer.
    in_force_version : int
        Lowest version in force at a live router of the zone.
    live_count, expected_count : int
        Live routers, and routers in the settings that are not under a planned stop.
    lagging, missing : tuple of str
        Routers below the highest version, and routers that are not live; at most
        :data:`hickoryweir.routers.acknowledgements.MAX_LISTED_COUNT` names each.
    age_s : float
        Time since the report was computed, by the clock of the sender.
    """

    availability_zone: str
    computed_by: str
    incarnation: int
    sequence: int
    in_force_version: int
    live_count: int
    expected_count: int
    lagging: tuple[str, ...]
    missing: tuple[str, ...]
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reports:
    """Zone reports not sent to the receiver before."""

    reports: tuple[ZoneReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Request zone reports for :data:`hickoryweir.routers.core.WATCH_DURATION_S`."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouterDigest:
    """A router's policy digest; a higher (incarnation, sequence) is newer.

    ``age_s`` is the time since it was created, by the clock of the sender.
    ``top_counts`` has, for each server in ``running``, the part of its calls that was
    sent with the top tier's priority.
    """

    router: str
    availability_zone: str
    incarnation: int
    sequence: int
    running: tuple[tuple[str, int], ...]
    suspects: tuple[str, ...]
    quarantined: tuple[str, ...]
    ejected: tuple[str, ...]
    age_s: float = 0.0
    top_counts: tuple[int, ...] = ()
    suspects_placed: tuple[tuple[str, str], ...] = ()
    lost_calls: tuple[tuple[str, str, tuple[int, ...], int, float], ...] = ()
    prefix_progress: tuple[tuple[str, int, float], ...] = ()
    limits: tuple[tuple[str, float, float], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Digests:
    """Policy digests not sent to the receiver before."""

    digests: tuple[RouterDigest, ...]


Message = Announce | Pull | Update | Reports | Watch | Digests

_TAGS: dict[str, type] = {
    "rt.announce": Announce,
    "rt.pull": Pull,
    "rt.update": Update,
    "rt.report": ZoneReport,
    "rt.reports": Reports,
    "rt.watch": Watch,
    "rt.digest": RouterDigest,
    "rt.digests": Digests,
}
for _tag, _cls in _TAGS.items():
    codec.register(_tag, _cls)
