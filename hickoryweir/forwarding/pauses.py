"""Times between the events of a stream."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Pauses:
    """Times between the events of one stream.

    Attributes
    ----------
    last_event_s : float or None
        When the last event arrived; None before the first one.
    longest_s : float
        Longest time between two events so far.
    """

    last_event_s: float | None = None
    longest_s: float = 0.0


def record_event(pauses: Pauses, now_s: float) -> None:
    """Record the arrival of one or more events.

    Examples
    --------
    >>> pauses = Pauses()
    >>> for now_s in (1.0, 1.5, 3.0, 3.25):
    ...     record_event(pauses, now_s)
    >>> pauses.longest_s
    1.5
    """
    if pauses.last_event_s is not None:
        pauses.longest_s = max(pauses.longest_s, now_s - pauses.last_event_s)
    pauses.last_event_s = now_s
