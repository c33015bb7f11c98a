"""Admission of requests that arrive at a router that is stopping.

Answers the load of the seconds between a stop signal and the moment at which the load
balancer and the clients' kept connections have left the router.  A request that can't
end before the process does would lose its response midway, so it is refused while
another router can still serve it whole.
"""

# Share of the requests that may take longer than the rest of the stop.
LONG_SHARE = 0.05


def quantile_to_end(ended_count: int, long_open_count: int) -> float | None:
    """Return the quantile of ended requests that has to lie within the time left.

    Parameters
    ----------
    ended_count : int
        Requests of the route that have ended.
    long_open_count : int
        Open requests of the route that are older than the time left.  Under load these
        say more than the ended ones, which were the short ones.

    Returns
    -------
    float or None
        None if no quantile would do, because too many open requests are long.

    Examples
    --------
    >>> quantile_to_end(100, 0), quantile_to_end(0, 0) is None
    (0.95, True)
    >>> quantile_to_end(199, 1), quantile_to_end(9, 1) is None
    (0.9547738693467337, True)
    """
    allowed_count = LONG_SHARE * (ended_count + long_open_count) - long_open_count
    if ended_count == 0 or allowed_count < 0:
        return None
    return 1.0 - allowed_count / ended_count


def may_outlast_stop(
    is_stream: bool, admitted_s: float, closed_s: float | None
) -> bool:
    """Return whether a request may be taken although it might outlast the stop.

    While the port is open, the load balancer may send a refused client back to this
    router; later, the client reaches another one.  A request without a response by the
    end of the stop gets a final one, but a stream that has begun is cut.

    Parameters
    ----------
    is_stream : bool
        Whether the response is a stream.
    admitted_s : float
        When the request had been received and was to be forwarded.
    closed_s : float or None
        From when on a refused request reaches another router: when the port for clients
        was closed, or, for one that is relayed, when the stop began; None before.

    Examples
    --------
    >>> may_outlast_stop(True, 3.0, 2.6), may_outlast_stop(False, 3.0, 2.6)
    (False, True)
    >>> may_outlast_stop(True, 2.0, 2.6), may_outlast_stop(True, 2.0, None)
    (True, True)
    """
    return not is_stream or closed_s is None or admitted_s < closed_s


def can_end(left_s: float, client_time_left_s: float, duration_s: float | None) -> bool:
    """Return whether a request is expected to end before the router stops.

    Parameters
    ----------
    left_s : float
        Time until the router stops.
    client_time_left_s : float
        Time until the request's deadline, by which it has ended in any case.
    duration_s : float or None
        Duration at the quantile of :func:`quantile_to_end`; None without one, or for a
        request that may not outlast the stop.

    Examples
    --------
    >>> can_end(5.0, 10.0, 2.0), can_end(5.0, 10.0, 7.0), can_end(5.0, 10.0, None)
    (True, False, False)
    >>> can_end(5.0, 1.5, None)
    True
    """
    if client_time_left_s <= left_s:
        return True
    return duration_s is not None and duration_s <= left_s


def unread_time_s(is_stream: bool, left_s: float, stop_time_s: float) -> float:
    """Return for how long the next request on a connection stays unread.

    A stream that a stop cuts ends its connection, and with it the requests behind it.
    Such a request may be sent again if it has not been read.

    Parameters
    ----------
    is_stream : bool
        Whether the response to the request before it is a stream.
    left_s : float
        Time until that one's deadline.
    stop_time_s : float
        For how long a stop that begins now lets requests go on.

    Examples
    --------
    >>> unread_time_s(True, 12.0, 7.0), unread_time_s(True, 6.0, 7.0)
    (5.0, 0.0)
    >>> unread_time_s(False, 12.0, 7.0)
    0.0
    """
    return max(0.0, left_s - stop_time_s) if is_stream else 0.0
