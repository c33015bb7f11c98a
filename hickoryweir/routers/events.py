"""Events and actions of the core of a peer router."""

import dataclasses

from hickoryweir.policy import events as policy_events
from hickoryweir.routers import messages, versions


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened:
    """A connection to a peer was opened."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkClosed:
    """The last connection to a peer was closed."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class DialFailed:
    """A peer could not be reached."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message was received from a peer."""

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class LogRead:
    """A committed version was read from the log; None before any change.

    ``is_confirmed`` is set if the read was linearizable.
    """

    published: versions.Published | None
    is_confirmed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Adopted:
    """The daemon has put this version in force."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LocalDigest:
    """The policy core of this router has a new digest."""

    digest: policy_events.PeerDigestReceived


@dataclasses.dataclass(frozen=True, slots=True)
class WatchRequested:
    """Zone reports of other routers are requested in this process."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed; sent several times a second."""


Event = (
    LinkOpened
    | LinkClosed
    | DialFailed
    | Received
    | LogRead
    | Adopted
    | LocalDigest
    | WatchRequested
    | Ticked
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a linked peer."""

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """Put a version in force, then confirm it with :class:`Adopted`."""

    published: versions.Published


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverDigest:
    """Deliver a peer's digest to the policy core; it is empty if the peer was lost."""

    digest: policy_events.PeerDigestReceived


Action = Send | Adopt | DeliverDigest
