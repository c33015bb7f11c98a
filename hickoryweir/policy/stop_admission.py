"""Admission of requests that arrive at a router that is stopping.

Answers the load of the seconds between a stop signal and the moment at which the load
balancer and the clients' kept connections have left the router.  A request that can't
end before the process does would lose its response midway, so it is refused while
another router can still serve it whole.
"""


def can_end(
    left_s: float, client_time_left_s: float, usual_s: float, oldest_open_s: float
) -> bool:
    """Return whether a request is expected to end before the router stops.

    Parameters
    ----------
    left_s : float
        Time until the router stops.
    client_time_left_s : float
        Time until the request's deadline, by which it has ended in any case.
    usual_s : float
        Duration of most requests of the route so far; 0 if none has ended.
    oldest_open_s : float
        Age of the oldest open request of the route; under load it exceeds `usual_s`,
        which contains only requests that have ended.

    Examples
    --------
    >>> can_end(5.0, 10.0, usual_s=2.0, oldest_open_s=1.0)
    True
    >>> can_end(5.0, 10.0, usual_s=2.0, oldest_open_s=7.0)
    False
    >>> can_end(5.0, 10.0, usual_s=0.0, oldest_open_s=0.0)
    False
    >>> can_end(5.0, 1.5, usual_s=0.0, oldest_open_s=0.0)
    True
    """
    if client_time_left_s <= left_s:
        return True
    return 0.0 < usual_s <= left_s and oldest_open_s <= left_s
