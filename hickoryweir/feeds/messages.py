"""Messages between a replica and the routers subscribed to it."""

import dataclasses
from typing import ClassVar

from hickoryweir.discovery import listing
from hickoryweir.replicas import wire
from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic status of a replica.

    Attributes
    ----------
    table_version : int
        Version of the newest table that the replica has applied.
    has_leader : bool
        Whether the replica is the leader or has contact with one.
    routers_count : int
        Number of routers subscribed to the replica.
    list_id : int
        Identifier of the server list that it sent last; 0 if it has read none.
    list_age_s : float
        Seconds since the last successful read, including reads that found no change.
    replicas : tuple of ReplicaAddress
        The members of the replicated log.
    is_leader : bool
        Whether the replica is the leader, which issues grants.
    """

    table_version: int
    has_leader: bool
    routers_count: int
    list_id: int
    list_age_s: float
    replicas: tuple[wire.ReplicaAddress, ...]
    is_leader: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TableRequest:
    """Requests the table that a replica has applied."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableContent:
    """The table that a replica has applied, compressed."""

    version: int
    compressed: bytes


# Group of the feeds over which routers confirm tables.  Replicas of earlier versions
# refuse it, and would close a connection on which a confirmation comes.
CONFIRMED_FEED = "confirmed"


@dataclasses.dataclass(frozen=True, slots=True)
class TableInForce:
    """Confirms that a router has a table in force."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerListUpdate:
    """The server list, sent on each change and to each new subscriber."""

    list_id: int
    age_s: float
    servers: tuple[listing.BackendServer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRouter:
    """A router that may relay requests, by its host."""

    host: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRouters:
    """The routers that one router may use as relays; replaces those known before."""

    routers: tuple[RelayRouter, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestsLost:
    """Fingerprints of requests lost on a server, and how long ago.

    Replicas pass on what is news to them to all other routers.
    """

    server_id: str
    fingerprints: tuple[int, ...]
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestsCompleted:
    """Fingerprints of requests that had been lost and completed, and how long ago."""

    fingerprints: tuple[int, ...]
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PartCrash:
    """A crash that lost a request with a part of a prompt, and how long ago."""

    server_id: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PartEvidence:
    """What crashes say of one part of prompts.

    Attributes
    ----------
    request_keys : tuple of int
        Hashes of requests that were lost, a few of them.
    earlier_part_ids : tuple of str
        Parts that precede it in prompts.
    progress_age_s : float or None
        How long ago a request with the part made progress; None if none did.
    refusal_age_s : float or None
        How long ago a request was refused because of the part; None if none was.
    trials_count : int
        Requests with the part that were let through while it was blocked.
    trial_age_s : float or None
        How long ago the last of them was allowed; None if none was.
    """

    service_name: str
    part_id: str
    crashes: tuple[PartCrash, ...]
    request_keys: tuple[int, ...]
    earlier_part_ids: tuple[str, ...]
    progress_age_s: float | None
    refusal_age_s: float | None
    trials_count: int = 0
    trial_age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CrashEvidence:
    """Evidence on parts; sent by routers, merged and passed on by replicas."""

    parts: tuple[PartEvidence, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PartTrial:
    """Lets one request with a blocked part through, at the router that gets this."""

    service_name: str
    part_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that routers have on a backend server, and its recent failures.

    Attributes
    ----------
    requests_count : int
        Open requests.
    backlog_tokens_count : int
        Prompt tokens that it has not prefilled yet.
    responses_count, failures_count : int
        Responses in the last seconds, and failures among them, in tenths.
    memory_tokens_count : int
        Tokens that the open requests take in its memory; processes of earlier versions
        can't read a message in which this is not 0.
    """

    OMITS_DEFAULTS: ClassVar[bool] = True

    server_id: str
    requests_count: int
    backlog_tokens_count: int
    responses_count: int = 0
    failures_count: int = 0
    memory_tokens_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimit:
    """What a server said of its limit, and how long ago.

    Attributes
    ----------
    per_s : float or None
        Requests a second of all routers together; None if it names no limit any more.
    """

    server_id: str
    address: str
    started_at_ms: int
    per_s: float | None
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of servers; sent by routers, and passed on by replicas."""

    limits: tuple[ServerLimit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerGrant:
    """The right to send requests to a server that names a limit."""

    server_id: str
    address: str
    started_at_ms: int
    requests_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendGrants:
    """Grants that the leading replica issues to one router."""

    grants: tuple[ServerGrant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerParts:
    """Shared prompt parts that were sent to a backend server."""

    server_id: str
    part_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RouterLoads:
    """Load of one router on the servers; servers without load are left out.

    Attributes
    ----------
    parts : tuple of ServerParts
        Parts sent since the last message, not all of them.
    """

    loads: tuple[ServerLoad, ...]
    parts: tuple[ServerParts, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCounts:
    """Requests for a service since a router process started.

    Attributes
    ----------
    admitted_count, admitted_tokens_count : int
        Requests sent to a server, and the tokens of their prompts to prefill.
    refused_count, refused_tokens_count : int
        Requests refused for lack of servers with room, and their tokens.
    waiting_count : int
        Requests that wait at the router for room at a server now.
    """

    service_name: str
    admitted_count: int
    admitted_tokens_count: int
    refused_count: int
    refused_tokens_count: int
    waiting_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """A router's requests by service; `process_id` is random for each process."""

    process_id: int
    services: tuple[ServiceCounts, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TotalLoads:
    """Summed load of all routers, and the parts they sent since the last message.

    Attributes
    ----------
    routers_count, reported_count : int
        Routers that the sender serves, and those of them whose load it knows; 0 in
        messages of earlier versions, which do not sum tokens in memory.
    position : int
        Position of the receiver among these routers.
    """

    OMITS_DEFAULTS: ClassVar[bool] = True

    loads: tuple[ServerLoad, ...]
    parts: tuple[ServerParts, ...] = ()
    routers_count: int = 0
    reported_count: int = 0
    position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSpeed:
    """What routers know of a server's slowness, as of when it was sent.

    Weights decay with age, so they say how old the samples are.

    Attributes
    ----------
    announced_log_sum, announced_weight : int
        See :class:`.server_speed.Samples`, of figures that the server announced, in
        thousandths.
    measured_log_sum, measured_weight : int
        The same of the routers' own measurements.
    """

    server_id: str
    announced_log_sum: int
    announced_weight: int
    measured_log_sum: int
    measured_weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSamples:
    """Samples of a service's prefill rate and decode step, by bin, in tenths.

    See :class:`hickoryweir.forwarding_policy.service_rates.Histograms`.

    Attributes
    ----------
    forecasts : tuple of int
        Sums of how well estimates forecast announced figures, in thousandths.
    """

    service_name: str
    rates: tuple[int, ...]
    steps: tuple[int, ...]
    forecasts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSpeeds:
    """What one router knows of servers' speed; sent if servers announce theirs."""

    speeds: tuple[ServerSpeed, ...]
    samples: tuple[ServiceSamples, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TotalSpeeds:
    """What all routers know together; sent to routers that have sent theirs."""

    speeds: tuple[ServerSpeed, ...]
    samples: tuple[ServiceSamples, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AccountWork:
    """Work of one client account at a service, in prompt tokens a second.

    Attributes
    ----------
    account : str
        Empty for requests without an account, and accounts not counted one by one.
    offered : tuple of int
        Offered work by urgency, the most urgent first.
    admitted, refused : int
        What became of it.
    """

    account: str
    offered: tuple[int, ...]
    admitted: int
    refused: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceWork:
    """Work of the client accounts at a service.

    Attributes
    ----------
    is_short : bool
        Whether requests were refused lately for lack of capacity, or nearly so.
    completed : int
        Work of all accounts that the servers complete, in prompt tokens a second.
    """

    service_name: str
    is_short: bool
    completed: int
    accounts: tuple[AccountWork, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RouterWork:
    """Work of accounts at one router; replaces what the router sent before."""

    services: tuple[ServiceWork, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TotalWork:
    """Work of accounts summed over all routers, at services with too little room.

    Attributes
    ----------
    age_s : float
        Median age of the routers' counts when they were summed.
    routers_count : int
        Routers whose counts are in the sum.
    """

    services: tuple[ServiceWork, ...]
    age_s: float
    routers_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigins:
    """Streams that began at a software version.

    Routers tell replicas while more than one version of the service is in use, and
    replicas tell a router that asks.

    Attributes
    ----------
    keys : tuple of int
        See :func:`hickoryweir.forwarding_policy.stream_versions.stream_key`.
    """

    service_name: str
    software_version: str
    keys: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OriginsRequest:
    """Requests the origins of the streams with these keys."""

    keys: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVersion:
    """A software version, and how long ago it was in a list of servers."""

    service_name: str
    software_version: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVersions:
    """Versions that were listed lately; sent while a service has more than one."""

    versions: tuple[ListedVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AccountCount:
    """Requests of an account that servers began, since the start of a window."""

    account_name: str
    requests_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class WindowCounts:
    """Counts of a window by account."""

    window_number: int
    accounts: tuple[AccountCount, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageCounts:
    """Counts of a router that have changed, and its clock.

    Counts are cumulative, so that a message may be lost, repeated or late.

    Attributes
    ----------
    process_id : str
        Random, chosen at the start of the router's process.
    wall_s : float
        The router's time of day.
    open_window : int
        Number of the window in progress; earlier ones are complete.
    """

    process_id: str
    wall_s: float
    open_window: int
    windows: tuple[WindowCounts, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TrueTime:
    """The time of day that most processes agree on; sent by the leader."""

    true_s: float


# Load of a server without a name, with which a router shows that it reads the messages
# and fields of this version; processes of earlier versions sum and ignore it.
VERSION_MARK = ServerLoad("", 0, 0)


def without_memory(loads: tuple[ServerLoad, ...]) -> tuple[ServerLoad, ...]:
    """Return loads without tokens in memory, for processes of earlier versions.

    Examples
    --------
    >>> without_memory((ServerLoad("a", 1, 2, memory_tokens_count=3),))
    (ServerLoad(server_id='a', requests_count=1, backlog_tokens_count=2, \
responses_count=0, failures_count=0, memory_tokens_count=0),)
    """
    return tuple(dataclasses.replace(load, memory_tokens_count=0) for load in loads)


for _tag, _cls in (
    ("fd.account_count", AccountCount),
    ("fd.window_counts", WindowCounts),
    ("fd.usage_counts", UsageCounts),
    ("fd.true_time", TrueTime),
    ("fd.service_counts", ServiceCounts),
    ("fd.service_demand", ServiceDemand),
    ("fd.server_speed", ServerSpeed),
    ("fd.service_samples", ServiceSamples),
    ("fd.own_speeds", RouterSpeeds),
    ("fd.all_speeds", TotalSpeeds),
    ("fd.stream_origins", StreamOrigins),
    ("fd.origins_request", OriginsRequest),
    ("fd.listed_version", ListedVersion),
    ("fd.listed_versions", ListedVersions),
    ("fd.server_limit", ServerLimit),
    ("fd.server_limits", ServerLimits),
    ("fd.server_grant", ServerGrant),
    ("fd.send_grants", SendGrants),
    ("fd.account_work", AccountWork),
    ("fd.service_work", ServiceWork),
    ("fd.router_work", RouterWork),
    ("fd.total_work", TotalWork),
    ("fd.relay_router", RelayRouter),
    ("fd.relay_routers", RelayRouters),
    ("fd.server_parts", ServerParts),
    ("fd.own_loads", RouterLoads),
    ("fd.all_loads", TotalLoads),
    ("fd.lost", RequestsLost),
    ("fd.completed", RequestsCompleted),
    ("fd.part_crash", PartCrash),
    ("fd.part_evidence", PartEvidence),
    ("fd.crash_evidence", CrashEvidence),
    ("fd.part_trial", PartTrial),
    ("fd.beat", Heartbeat),
    ("fd.table_request", TableRequest),
    ("fd.table", TableContent),
    ("fd.in_force", TableInForce),
    ("fd.servers", ServerListUpdate),
):
    codec.register(_tag, _cls)
