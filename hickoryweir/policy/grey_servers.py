"""Servers that fail part of their requests while they look healthy.

Answers grey failure: a health check that passes says little, so servers are judged by
the answers that all routers got from them lately.  A server is set aside while it
fails clearly more often than the others of its service, never more than a share of
them, and comes back as the counts fade.
"""

import dataclasses

# A second's burst of failures still counts three seconds later, half as much.
HALF_LIFE_S = 3.0
# Fewer failures may be chance.
MIN_FAILURES = 3.0
# Some kinds of request fail by themselves; twice the others' share is above that.
SHARE_RATIO = 2.0
MIN_SHARE = 0.25
# Setting more aside would overload the others.
MAX_SET_ASIDE_SHARE = 0.34


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Answers of a server and failures among them, both fading with time."""

    answers: float = 0.0
    failures: float = 0.0
    at_s: float = 0.0


def fade(record: Record, now_s: float) -> Record:
    """Return a record as it counts now.

    Examples
    --------
    >>> fade(Record(8.0, 4.0, 0.0), 2 * HALF_LIFE_S)
    Record(answers=2.0, failures=1.0, at_s=6.0)
    """
    factor = 0.5 ** (max(0.0, now_s - record.at_s) / HALF_LIFE_S)
    return Record(record.answers * factor, record.failures * factor, now_s)


def note(record: Record, failed: bool, now_s: float) -> Record:
    """Return a record with one more answer."""
    faded = fade(record, now_s)
    return Record(faded.answers + 1.0, faded.failures + failed, now_s)


def set_aside(records: dict[str, Record]) -> frozenset[str]:
    """Return the servers of one service that should get no new requests.

    Examples
    --------
    >>> sound = {name: Record(20.0, 3.0) for name in "abcd"}
    >>> set_aside(sound | {"e": Record(20.0, 9.0)})
    frozenset({'e'})
    >>> set_aside(sound)
    frozenset()
    """
    if len(records) < 2:
        return frozenset()
    all_answers = sum(record.answers for record in records.values())
    all_failures = sum(record.failures for record in records.values())
    found = []
    for name, record in records.items():
        share = record.failures / max(1.0, record.answers)
        others_answers = max(1.0, all_answers - record.answers)
        others_share = (all_failures - record.failures) / others_answers
        is_worse = share > max(MIN_SHARE, SHARE_RATIO * others_share)
        if record.failures >= MIN_FAILURES and is_worse:
            found.append((share, name))
    limit = int(MAX_SET_ASIDE_SHARE * len(records))
    return frozenset(name for _, name in sorted(found, reverse=True)[:limit])
