"""Retry budget of a service, shared by all routers.

For each service, retries at another backend server in a sliding window stay below a
ratio of the requests plus a fixed extra.  Each router may use the ratio of its own
requests and a share of the extra, see :mod:`.router_shares`, so the sum over all
routers keeps the bound.
"""

import collections
import dataclasses

from hickoryweir.forwarding_policy import router_shares

# Margin for windows that are counted at the receiver, slightly after sending.
SAFETY_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Bound on the retries of all routers together.

    Attributes
    ----------
    ratio : float
        Retries allowed per request.
    window_s : float
        Length of the sliding window.
    extra_count : float
        Retries allowed in a window regardless of the number of requests; may be a
        fraction, since only each router's share of it is counted in whole retries.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    extra_count: float = 10.0


@dataclasses.dataclass(slots=True)
class Budget:
    """Times of requests and retries of one service, oldest first."""

    settings: Settings
    request_times_s: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    retry_times_s: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


def update_settings(budget: Budget, settings: Settings) -> None:
    """Change the bound; requests and retries counted so far are kept."""
    budget.settings = settings


def record_request(budget: Budget, now_s: float) -> None:
    """Count a request of a client."""
    budget.request_times_s.append(now_s)
    _drop_expired(budget, now_s)


def try_acquire(
    budget: Budget,
    routers_count: int,
    now_s: float,
    traffic_part: float | None = None,
) -> bool:
    """Return whether a retry may be sent now, and count it if so.

    Parameters
    ----------
    budget : Budget
        The budget of a service.
    routers_count : int
        Routers that share the extra.
    now_s : float
        The time.
    traffic_part : float, optional
        This router's part of all traffic; None if it is not known.

    Examples
    --------
    >>> budget = Budget(Settings(ratio=0.0, window_s=10.0, extra_count=5))
    >>> [try_acquire(budget, 2, 0.0) for _ in range(3)]
    [True, True, False]
    >>> try_acquire(budget, 2, 10.1)
    True
    """
    _drop_expired(budget, now_s)
    settings = budget.settings
    own_extra = router_shares.share_of(
        settings.extra_count, routers_count, traffic_part
    )
    allowed = SAFETY_SHARE * (settings.ratio * len(budget.request_times_s) + own_extra)
    if len(budget.retry_times_s) + 1 > allowed:
        return False
    budget.retry_times_s.append(now_s)
    return True


def _drop_expired(budget: Budget, now_s: float) -> None:
    oldest_s = now_s - budget.settings.window_s
    for times_s in (budget.request_times_s, budget.retry_times_s):
        while times_s and times_s[0] <= oldest_s:
            times_s.popleft()
