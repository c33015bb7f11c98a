"""Messages between routers."""

import dataclasses

from hickoryweir.configuration import stops
from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """What the sender holds and has in force; sent on change and as heartbeat.

    ``incarnation`` grows with each start of the process.
    """

    incarnation: int
    held_version: int
    in_force_version: int
    is_ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Pull:
    """Ask for what is newer than ``known_version``; 0 asks for the whole text."""

    known_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """A newer version.

    ``content`` is compressed: the whole text if ``base_version`` is 0, else the
    delta that leads to it from that version.  ``digest`` is that of the whole text.
    """

    version: int
    configuration_version: int
    digest: str
    running_stops: tuple[stops.Stop, ...]
    base_version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneReport:
    """What one relay knows of the routers of its availability zone.

    Attributes
    ----------
    availability_zone, computed_by : str
        Zone, and the relay that computed the report.
    incarnation, sequence : int
        The relay's; a higher pair is newer.
    in_force_version : int
        Lowest version in force at a live router of the zone.
    live_count, expected_count : int
        Routers heard and routers in the settings.
    lagging, missing : tuple of str
        A few names of routers below the highest version, and of lost ones.
    age_s : float
        Time since it was computed, as known to the sender.
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
    """Zone reports that the receiver may not have."""

    reports: tuple[ZoneReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Ask for zone reports for a while."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouterDigest:
    """A router's policy digest; a higher (incarnation, sequence) is newer.

    ``age_s`` is the time since it was made, as known to the sender.
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
    running_top: tuple[tuple[str, int], ...] = ()
    suspects_placed: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Digests:
    """Policy digests that the receiver may not have."""

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
