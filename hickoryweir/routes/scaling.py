"""Validation of the bounds and prices within which servers are ordered."""

import math

from hickoryweir.observability import logs
from hickoryweir.routes import model

# Above the servers of any one site; a larger number is a mistake.
MAX_SERVERS_COUNT = 100_000
# A longer boot time is a mistake: such a server would come too late for the load.
MAX_BOOT_S = 3_600.0


def find_problem(scaling: model.Scaling) -> str | None:
    """Return why servers can't be ordered within these bounds; None if they can.

    Examples
    --------
    >>> find_problem(model.Scaling(1, 47, 4.0, 0.18, (("a", 1.0),))) is None
    True
    >>> find_problem(model.Scaling(3, 2, 4.0, 0.18, ()))
    'the minimum of 3 servers exceeds the maximum of 2'
    """
    if not 0 <= scaling.min_count <= MAX_SERVERS_COUNT:
        return f"the minimum is {scaling.min_count} servers"
    if not 1 <= scaling.max_count <= MAX_SERVERS_COUNT:
        return f"the maximum is {scaling.max_count} servers"
    if scaling.min_count > scaling.max_count:
        return (
            f"the minimum of {scaling.min_count} servers exceeds the maximum of "
            f"{scaling.max_count}"
        )
    if not 0.0 <= scaling.boot_s <= MAX_BOOT_S:
        return f"a server boots for {scaling.boot_s} s"
    prices = [price for _, price in scaling.zone_prices]
    if scaling.spot_price is not None:
        prices.append(scaling.spot_price)
    if not all(math.isfinite(price) and price >= 0.0 for price in prices):
        return "a price is not a number, or negative"
    return None


def log_ignored(service_name: str, problem: str) -> None:
    """Log that no servers are ordered for a service, since its scaling is invalid."""
    fields = logs.Fields(reason=problem, detail=f"service {service_name}")
    logs.warning("scaling of a service ignored", fields)
