"""Messages between a replica and its clients, and for cluster bootstrap."""

import dataclasses
import enum
from typing import ClassVar

from hickoryweir.replicas import messages
from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaAddress:
    """Name, address and zone of a replica."""

    name: str
    host: str
    port: int
    availability_zone: str

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


class Change(enum.StrEnum):
    """A membership change or leadership transfer.

    With `LEAVE` a voter that is about to stop asks to be replaced by a learner.  It is
    answered with an empty refusal once the voter has nothing more to wait for.  With
    `YIELD` a member asks to vote only where others are missing.  `DEMOTE` makes a voter
    a learner; only a leader's own decisions use it.
    """

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"
    DEMOTE = "demote"
    TRANSFER = "transfer"
    LEAVE = "leave"
    YIELD = "yield"


class NotServedReason(enum.StrEnum):
    """Why a replica did not serve a request."""

    NOT_LEADER = "not_leader"
    LEADERSHIP_LOST = "leadership_lost"
    OVERLOADED = "overloaded"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeRequest:
    """Proposes a command for the log."""

    request_id: int
    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequest:
    """Queries the state; a stale read may miss committed commands."""

    request_id: int
    query: bytes
    stale: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WatchRequest:
    """Queries the state once its version is above `after_version`."""

    request_id: int
    query: bytes
    after_version: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks for the status of the replica."""

    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Asks for a membership change or leadership transfer."""

    request_id: int
    change: Change
    member: messages.Member


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRequest:
    """Asks a follower to relay a request to the leader."""

    request_id: int
    request: ProposeRequest | ReadRequest | ChangeRequest


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The response to a command or query; empty if a watch timed out."""

    request_id: int
    payload: bytes
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotServed:
    """The request was not served; with `may_commit` it may still take effect."""

    request_id: int
    reason: NotServedReason
    leader_name: str
    has_quorum: bool
    may_commit: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member as the replica sees it; the last three fields only if it leads."""

    member: messages.Member
    match_index: int
    caught_up: bool
    lost_entries: bool
    since_contact_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """Status of a replica.

    `may_bootstrap` is set only while the folder is empty, so that a cluster that runs
    sends no field that earlier versions don't know.
    """

    OMITS_DEFAULTS: ClassVar[bool] = True

    request_id: int
    member_id: str
    availability_zone: str
    role: str
    term: int
    leader_id: str
    has_quorum: bool
    empty: bool
    last_index: int
    commit_index: int
    snapshot_index: int
    members: tuple[MemberStatus, ...]
    sync_count: int = 0
    written_size_bytes: int = 0
    may_bootstrap: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAnswered:
    """A change is committed if `refusal` is empty; else the reason of its refusal."""

    request_id: int
    refusal: str


@dataclasses.dataclass(frozen=True, slots=True)
class BootstrapRequest:
    """Sends an empty replica the members of a new cluster."""

    membership: messages.Membership


Request = (
    ProposeRequest
    | ReadRequest
    | WatchRequest
    | StatusRequest
    | ChangeRequest
    | RelayRequest
)

for _tag, _cls in (
    ("rc.propose", ProposeRequest),
    ("rc.read", ReadRequest),
    ("rc.watch", WatchRequest),
    ("rc.status?", StatusRequest),
    ("rc.change?", ChangeRequest),
    ("rc.relay?", RelayRequest),
    ("rc.answered", Answered),
    ("rc.not_served", NotServed),
    ("rc.status", Status),
    ("rc.change", ChangeAnswered),
    ("rc.found", BootstrapRequest),
):
    codec.register(_tag, _cls)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``.

    Examples
    --------
    >>> split_address("10.0.0.1:7000")
    ('10.0.0.1', 7000)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def address_of(member: messages.Member) -> ReplicaAddress:
    """Return the address of a member of the replicated log."""
    host, port = split_address(member.address)
    name = messages.replica_name_of(member.member_id)
    return ReplicaAddress(name, host, port, member.availability_zone)
