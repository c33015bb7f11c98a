"""Events and actions of a peer router's core."""

import dataclasses

from hickoryweir.policy import events as policy_events
from hickoryweir.routers import messages, versions


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened:
    """A connection with a peer is up."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkClosed:
    """The last connection with a peer is gone."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class DialFailed:
    """A peer could not be reached."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message came from a peer."""

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class LogRead:
    """The log has this committed version; None before any change.

    ``is_confirmed`` says that the read was linearizable.
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
    """Someone here wants the zones' reports."""


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
    """Put a version in force, then say so with :class:`Adopted`."""

    published: versions.Published


@dataclasses.dataclass(frozen=True, slots=True)
class DeliverDigest:
    """Give a peer's digest to the policy core; an empty one if it was lost."""

    digest: policy_events.PeerDigestReceived


Action = Send | Adopt | DeliverDigest
