"""Settings of one policy core, and a switch for each mechanism.

The daemon uses :data:`ALL`; the load tool switches one mechanism off at a time
to measure its effect.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanisms:
    """Switches of the policy's mechanisms.

    Attributes
    ----------
    admission : bool
        Refuse calls early that can't finish by their deadline.
    floor_shares : bool
        Give each class its floor share of a pool.
    reserve : bool
        Keep a few slots of each engine free for the pool's top tier.
    fair_accounts : bool
        Start-time fair queueing among the accounts of a class.
    affinity : bool
        Prefer a backend server that holds the prompt's prefix.
    zone_local : bool
        Prefer the router's own availability zone.
    corrected_load : bool
        Subtract the router's own calls from load reports.
    stragglers : bool
        Eject slow backend servers, and migrate stalled streams.
    hedging : bool
        Send a second attempt when the first is late.
    preemption : bool
        Send calls of the top tier to full engines, which preempt lower tiers.
    resume : bool
        Continue after the tokens already sent.
    poison : bool
        Track and quarantine requests that crash backend servers.
    """

    admission: bool = True
    floor_shares: bool = True
    reserve: bool = True
    fair_accounts: bool = True
    affinity: bool = True
    zone_local: bool = True
    corrected_load: bool = True
    stragglers: bool = True
    hedging: bool = True
    preemption: bool = True
    resume: bool = True
    poison: bool = True


ALL = Mechanisms()


@dataclasses.dataclass(frozen=True, slots=True)
class CoreSettings:
    """Identity of a router, the seed of its random choices, and its mechanisms.

    Attributes
    ----------
    routers_count : int
        Routers of the cluster, which share the limits of backend servers.
    """

    router: str
    availability_zone: str
    seed: int = 0
    mechanisms: Mechanisms = ALL
    routers_count: int = 1
