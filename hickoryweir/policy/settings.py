"""Settings of one policy core, and a switch for each mechanism.

The daemon uses :data:`ALL`; the load tool switches one mechanism off at a time
to measure what it is worth.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Mechanisms:
    """Which mechanisms are on.

    Attributes
    ----------
    admission : bool
        Refuse early what can't be served in time.
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
        Correct load reports by own calls sent since.
    stragglers : bool
        Eject slow backend servers.
    hedging : bool
        Send a second attempt when the first is late.
    preemption : bool
        Cancel lower tiers when a higher tier waits.
    resume : bool
        Go on from the tokens already sent.
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
    """Who this router is, and the seed of its random choices."""

    router: str
    availability_zone: str
    seed: int = 0
    mechanisms: Mechanisms = ALL
