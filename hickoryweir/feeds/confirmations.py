"""Which table each router has in force, as the routers confirm it to a replica.

A replica acknowledges a table only once its routers have it in force, so that a loss
of all replicas right after the acknowledgement delays nothing.
"""

import asyncio
import dataclasses
from collections.abc import Hashable

from hickoryweir import clocks
from hickoryweir.routes import store

# Longer than an attempt to connect to a VM that is silent and the pause after it, see
# subscriber.CONNECT_TIMEOUT_S and RETRY_MAX_S.
SETTLING_S = 1.2
# Several times as long as routers need for a table of a few hundred routes.
CONFIRMATION_TIMEOUT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Waited:
    """Outcome of a wait for the routers.

    Attributes
    ----------
    late : frozenset
        The routers that had not confirmed the version.
    is_conclusive : bool
        Whether the routers had enough time; otherwise the version may come into force
        at any of them later.
    """

    late: frozenset = frozenset()
    is_conclusive: bool = True


class Confirmations:
    """The versions that a replica's routers have confirmed.

    A router that has no table yet refuses requests as not run, and is not waited for.
    Nor is one that has missed a deadline, until it confirms a table again: a VM that
    stands still would otherwise delay each acknowledgement.  A replica that has just
    started waits until the routers have had time to connect to it.

    Parameters
    ----------
    started_s : float
        When the replica started, on :func:`hickoryweir.clocks.boottime_s`.

    Examples
    --------
    >>> confirmations = Confirmations(started_s=0.0)
    >>> confirmations.add("router-1")
    >>> confirmations.pending(2)
    set()
    >>> confirmations.confirm("router-1", 1)
    >>> confirmations.pending(2)
    {'router-1'}
    >>> confirmations.confirm("router-1", 2)
    >>> confirmations.pending(2)
    set()
    """

    def __init__(self, started_s: float) -> None:
        self._settled_s = started_s + SETTLING_S
        self._versions: dict[Hashable, int] = {}
        self._late: set[Hashable] = set()
        self._changed = asyncio.Event()

    def add(self, router: Hashable) -> None:
        """Add a router that has confirmed nothing yet."""
        self._versions[router] = store.NO_VERSION

    def remove(self, router: Hashable) -> None:
        """Remove a router that is no longer connected."""
        self._versions.pop(router, None)
        self._late.discard(router)
        self._changed.set()

    def confirm(self, router: Hashable, version: int) -> None:
        """Record that a router has a table in force."""
        if router in self._versions:
            self._versions[router] = version
            self._late.discard(router)
            self._changed.set()

    def pending(self, version: int) -> set:
        """Return the routers to wait for until a version is in force."""
        return {
            router
            for router, confirmed in self._versions.items()
            if store.NO_VERSION < confirmed < version and router not in self._late
        }

    def count_in_force(self, version: int) -> int:
        """Return how many routers have confirmed a version or a later one."""
        return sum(confirmed >= version for confirmed in self._versions.values())

    @property
    def routers_count(self) -> int:
        """Return the number of connected routers."""
        return len(self._versions)

    async def wait(self, version: int, left_s: float) -> Waited:
        """Wait until a version or a later one is in force at the routers.

        Parameters
        ----------
        version : int
            The version to wait for.
        left_s : float
            Time that is left for the wait.  Routers that miss `CONFIRMATION_TIMEOUT_S`
            are late, and not waited for any more; those that had less time are not.
        """
        settling_s = max(0.0, self._settled_s - clocks.boottime_s())
        wanted_s = settling_s + CONFIRMATION_TIMEOUT_S
        try:
            async with asyncio.timeout(max(0.0, min(wanted_s, left_s))):
                await asyncio.sleep(settling_s)
                while self.pending(version):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            late = frozenset(self.pending(version))
            is_conclusive = left_s >= wanted_s
            if is_conclusive:
                self._late |= late
            return Waited(late, is_conclusive)
        return Waited()


def make_confirmations() -> Confirmations:
    """Return the confirmations of a replica that starts now."""
    return Confirmations(clocks.boottime_s())
