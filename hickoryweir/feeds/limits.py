"""A replica's side of servers' limits: what servers name, and the grants it issues."""

import random

from hickoryweir import clocks
from hickoryweir.feeds import messages
from hickoryweir.forwarding_policy import server_limits
from hickoryweir.observability import logs

# Tells new routers, and those whose list lagged, the limits in force.
REPEAT_INTERVAL_S = 1.0


class LimitKeeper:
    """Limits of servers as the routers report them, and grants for the routers."""

    def __init__(self) -> None:
        self._limits = server_limits.Limits()
        self._generator = random.Random()
        self._told_at_s = float("-inf")
        self._is_changed = False

    def add(self, message: messages.ServerLimits) -> None:
        """Record what a router was told by servers."""
        now_s = clocks.boottime_s()
        for item in message.limits:
            key = (item.server_id, item.address, item.started_at_ms)
            found = server_limits.Limit(item.per_s, now_s - item.age_s)
            if server_limits.record(self._limits, key, found):
                self._is_changed = True
                named = "none" if item.per_s is None else f"{item.per_s:g} a second"
                fields = logs.Fields(backend_server=item.server_id, detail=named)
                logs.info("limit of a server", fields)

    def due_message(self) -> messages.ServerLimits | None:
        """Return what to tell all routers now; None if nothing is due."""
        now_s = clocks.boottime_s()
        is_repeated = (
            now_s - self._told_at_s >= REPEAT_INTERVAL_S
            and server_limits.in_force(self._limits)
        )
        if not self._is_changed and not is_repeated:
            return None
        self._is_changed, self._told_at_s = False, now_s
        server_limits.remove_expired(self._limits, now_s)
        return messages.ServerLimits(
            tuple(
                messages.ServerLimit(*key, limit.per_s, now_s - limit.at_s)
                for key, limit in self._limits.known.items()
            )
        )

    def issue(self, weights: list[float]) -> dict[int, messages.SendGrants]:
        """Return the grants to send to routers, by their position in `weights`."""
        now_s = clocks.boottime_s()
        by_router: dict[int, list[messages.ServerGrant]] = {}
        issued = server_limits.issue(self._limits, weights, now_s, self._generator)
        for key, counts in issued.items():
            for router, count in counts.items():
                grant = messages.ServerGrant(*key, count)
                by_router.setdefault(router, []).append(grant)
        return {
            router: messages.SendGrants(tuple(grants))
            for router, grants in by_router.items()
        }

    def stop_issuing(self) -> None:
        """Start anew with no grants to issue, since another replica leads."""
        self._limits.buckets.clear()
