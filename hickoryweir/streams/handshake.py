"""Handshake that identifies both processes and the purpose of a connection.

The connecting side sends :class:`Hello`; the accepting side responds with
:class:`Welcome` or :class:`Refused`.  With mutual TLS, the process name in the
message must be one of the names in the sender's certificate.

The connecting side names the interval of its probes, see
:mod:`~hickoryweir.streams.liveness`.  An earlier version refuses such a message as
malformed, and gets one without an interval; so no probes are sent to one that would
close the connection on them.
"""

import dataclasses
import enum
import typing

from hickoryweir.streams import codec

PROTOCOL_VERSION = 1


class Purpose(enum.StrEnum):
    """Purpose of a connection; selects its handler."""

    REPLICA = "replica"
    CLIENT = "client"
    ROUTER = "router"
    FEED = "feed"
    USAGE = "usage"


class RefusalReason(enum.StrEnum):
    """Reason why a connection was refused in the handshake."""

    MALFORMED = "malformed"
    WRONG_VERSION = "wrong_version"
    WRONG_CLUSTER = "wrong_cluster"
    WRONG_PURPOSE = "wrong_purpose"
    WRONG_GROUP = "wrong_group"
    WRONG_NAME = "wrong_name"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    TIMED_OUT = "timed_out"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a process.

    Attributes
    ----------
    cluster_id : str
        Shared by all processes of a cluster.
    process_name : str
        Unique in the cluster; with TLS, also a name in the certificate.
    availability_zone : str
        Zone in which the process runs.
    """

    cluster_id: str
    process_name: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Requests a connection; `purpose` is a str so that unknown ones can be refused.

    Attributes
    ----------
    probe_interval_ms : int
        Interval at which this side probes the connection; 0 if it does not.
    """

    OMITS_DEFAULTS: typing.ClassVar[bool] = True

    protocol_version: int
    cluster_id: str
    process_name: str
    availability_zone: str
    purpose: str
    group: str = ""
    probe_interval_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Accepts a connection."""

    process_name: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Refuses a connection."""

    reason: RefusalReason


codec.register("hs.hello", Hello)
codec.register("hs.welcome", Welcome)
codec.register("hs.refused", Refused)


def make_hello(
    identity: Identity, purpose: Purpose, group: str = "", probe_interval_ms: int = 0
) -> Hello:
    """Return the first message of the connecting side."""
    return Hello(
        PROTOCOL_VERSION,
        identity.cluster_id,
        identity.process_name,
        identity.availability_zone,
        purpose.value,
        group,
        probe_interval_ms,
    )


def check_hello(
    hello: Hello,
    identity: Identity,
    served: frozenset[tuple[str, str]],
    certificate_names: frozenset[str] | None,
) -> RefusalReason | None:
    """Return why `hello` is refused, or None if it is accepted.

    Parameters
    ----------
    hello : Hello
        Message of the connecting side.
    identity : Identity
        Identity of this process.
    served : frozenset of (str, str)
        Pairs of purpose and group that have a handler.
    certificate_names : frozenset of str or None
        Names in the certificate of the connecting side; None without TLS.

    Examples
    --------
    >>> me = Identity("north", "vm-1", "zone-a")
    >>> hello = make_hello(Identity("south", "vm-2", "zone-b"), Purpose.CLIENT)
    >>> check_hello(hello, me, frozenset({("client", "")}), None)
    <RefusalReason.WRONG_CLUSTER: 'wrong_cluster'>
    """
    if hello.protocol_version != PROTOCOL_VERSION:
        return RefusalReason.WRONG_VERSION
    if hello.cluster_id != identity.cluster_id:
        return RefusalReason.WRONG_CLUSTER
    if certificate_names is not None and hello.process_name not in certificate_names:
        return RefusalReason.WRONG_NAME
    if hello.purpose not in {purpose for purpose, _ in served}:
        return RefusalReason.WRONG_PURPOSE
    if (hello.purpose, hello.group) not in served:
        return RefusalReason.WRONG_GROUP
    return None
