"""Which table each router has in force, as the routers confirm it to a replica.

A replica acknowledges a table only once its routers have it in force, so that a loss
of all replicas right after the acknowledgement delays nothing.
"""

import asyncio
from collections.abc import Hashable

from hickoryweir import clocks
from hickoryweir.routes import store

# Longer than subscriber.RETRY_MAX_S, the interval at which routers try to reconnect.
SETTLING_S = 0.6


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

    async def wait(
        self, version: int, timeout_s: float, is_deadline: bool = True
    ) -> set:
        """Wait until a version or a later one is in force at the routers.

        Parameters
        ----------
        version : int
            The version to wait for.
        timeout_s : float
            Maximum time to wait.
        is_deadline : bool, optional
            Whether routers had enough time, so that later changes don't wait for those
            that have missed it.

        Returns
        -------
        set
            The routers that had not confirmed it after `timeout_s`.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(max(0.0, self._settled_s - clocks.boottime_s()))
                while self.pending(version):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            late = self.pending(version)
            if is_deadline:
                self._late |= late
            return late
        return set()


def make_confirmations() -> Confirmations:
    """Return the confirmations of a replica that starts now."""
    return Confirmations(clocks.boottime_s())
