"""A router's share of what all routers use together, which follows its traffic.

Half of the total is divided equally, the other half by traffic, so that a router whose
traffic begins has a share at once.  The parts by traffic are means over some seconds of
each router's load and of the sum that contains it, so they add up to one but for the
sums' age; a margin covers that.
"""

import dataclasses
import math

EQUAL_SHARE = 0.5
# The rest is for parts that add up to slightly more than one.
TRAFFIC_SHARE = 0.45
MEAN_S = 10.0
# Too few requests say nothing of a router's part.
MIN_REQUESTS_COUNT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Means of the open requests of this router and of all routers."""

    own_count: float = 0.0
    total_count: float = 0.0
    updated_s: float = -math.inf


NO_TRAFFIC = Traffic()


def record(traffic: Traffic, own_count: int, total_count: int, now_s: float) -> Traffic:
    """Return the means after another sum of all routers' loads.

    Examples
    --------
    >>> traffic = record(NO_TRAFFIC, 2, 10, 0.0)
    >>> record(traffic, 2, 10, 5.0)
    Traffic(own_count=2.0, total_count=10.0, updated_s=5.0)
    >>> part(record(traffic, 0, 10, 10.0)) < 0.1
    True
    """
    if math.isinf(traffic.updated_s):
        return Traffic(float(own_count), float(total_count), now_s)
    kept = math.exp(-max(0.0, now_s - traffic.updated_s) / MEAN_S)
    return Traffic(
        own_count + kept * (traffic.own_count - own_count),
        total_count + kept * (traffic.total_count - total_count),
        now_s,
    )


def part(traffic: Traffic) -> float | None:
    """Return this router's part of the traffic; None if it is not known."""
    if traffic.total_count < MIN_REQUESTS_COUNT:
        return None
    return min(1.0, traffic.own_count / traffic.total_count)


def share_of(total: float, routers_count: int, traffic_part: float | None) -> float:
    """Return a router's share of a total.

    Examples
    --------
    >>> share_of(720, 88, None) == 720 / 88
    True
    >>> [round(share_of(100, 10, part), 2) for part in (0.0, 0.1, 1.0)]
    [5.0, 9.5, 50.0]
    """
    equal = total / max(1, routers_count)
    if traffic_part is None:
        return equal
    return EQUAL_SHARE * equal + TRAFFIC_SHARE * traffic_part * total
