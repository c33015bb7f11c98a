"""The other routers that may relay requests, as known to this router."""

import asyncio
import dataclasses

from hickoryweir.discovery import listing
from hickoryweir.forwarding import relay_messages, server_pool
from hickoryweir.forwarding_policy import relays

# Requests that need a relay keep the knowledge of them fresh for this long.
WANTED_S = 3.0


@dataclasses.dataclass(slots=True)
class Relay:
    """A router that may relay requests.

    Attributes
    ----------
    address : str
        Host and port on which it takes requests of routers.
    view : server_pool.ServerView
        Stands for the backend server in an attempt that goes through it.
    services : frozenset of str
        Services of which it said that it reaches a server.
    open_count : int
        Requests that it said it relays, and those sent to it since.
    heard_at_s : float
        When it said so, on :func:`clocks.boottime_s`.
    asked_at_s : float
        When it was last asked.
    """

    router: relays.Router
    address: str
    view: server_pool.ServerView
    services: frozenset[str] = frozenset()
    open_count: int = 0
    heard_at_s: float = float("-inf")
    asked_at_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class RelayPool:
    """All routers that replicas have named as relays.

    Attributes
    ----------
    port : int
        Port on which routers take each other's requests; 0 if this one relays none.
    by_host : dict
        What is known of each router, by host.
    named : dict
        The routers that each replica named last, by the replica's address.
    wanted_since_s, wanted_until_s : float
        When they are asked whether they relay, on :func:`clocks.boottime_s`.
    relayed_count : int
        Requests that this router relays now.
    own_host : str
        Host of this router, for the relays' logs.
    tasks : set of asyncio.Task
        Questions to relays that have no response yet.
    """

    port: int = 0
    own_host: str = ""
    by_host: dict[str, Relay] = dataclasses.field(default_factory=dict)
    named: dict[str, tuple[relays.Router, ...]] = dataclasses.field(
        default_factory=dict
    )
    wanted_since_s: float = float("-inf")
    wanted_until_s: float = float("-inf")
    relayed_count: int = 0
    tasks: set[asyncio.Task] = dataclasses.field(default_factory=set)


def update_named(
    pool: RelayPool, replica_address: str, routers: tuple[relays.Router, ...]
) -> None:
    """Replace the routers that one replica has named; keep what is known of them."""
    pool.named[replica_address] = routers
    wanted = {router.host: router for named in pool.named.values() for router in named}
    pool.by_host = {
        host: pool.by_host.get(host) or _make_relay(router, pool.port)
        for host, router in wanted.items()
    }


def _make_relay(router: relays.Router, port: int) -> Relay:
    address = f"{router.host}:{port}"
    listed = listing.BackendServer(
        f"router {router.host}",
        "",
        address,
        router.availability_zone,
        listing.ServerState.READY,
        0,
        0.0,
    )
    return Relay(router, address, server_pool.ServerView(listed))


def record_status(
    relay: Relay, status: relay_messages.RelayStatus, now_s: float
) -> None:
    """Store what a router says of itself."""
    relay.services = frozenset(status.services)
    relay.open_count = status.open_count
    relay.heard_at_s = now_s


def record_unusable(relay: Relay, service_name: str) -> None:
    """Record that a router does not reach a service, until it says otherwise."""
    relay.services -= {service_name}


def choose(
    pool: RelayPool,
    service_name: str,
    own_zone: str,
    excluded_hosts: set[str],
    now_s: float,
) -> Relay | None:
    """Return the router to relay a request to a service; None if there is none."""
    candidates = [
        relays.Candidate(
            relay.router, relay.services, relay.open_count, relay.heard_at_s
        )
        for host, relay in pool.by_host.items()
        if host not in excluded_hosts
    ]
    chosen = relays.choose(candidates, service_name, own_zone, now_s)
    return None if chosen is None else pool.by_host[chosen.router.host]
