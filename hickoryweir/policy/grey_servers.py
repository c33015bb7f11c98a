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
MAX_EJECTED_SHARE = 0.34


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCounts:
    """Answers of a server and failures among them, both fading with time."""

    answers: float = 0.0
    failures: float = 0.0
    at_s: float = 0.0


def decay(counts: AnswerCounts, now_s: float) -> AnswerCounts:
    """Return a record as it counts now.

    Examples
    --------
    >>> decay(AnswerCounts(8.0, 4.0, 0.0), 2 * HALF_LIFE_S)
    AnswerCounts(answers=2.0, failures=1.0, at_s=6.0)
    """
    factor = 0.5 ** (max(0.0, now_s - counts.at_s) / HALF_LIFE_S)
    return AnswerCounts(counts.answers * factor, counts.failures * factor, now_s)


def record_answer(counts: AnswerCounts, failed: bool, now_s: float) -> AnswerCounts:
    """Return a record with one more answer."""
    decayed = decay(counts, now_s)
    return AnswerCounts(decayed.answers + 1.0, decayed.failures + failed, now_s)


def ejected_servers(counts_by_server: dict[str, AnswerCounts]) -> frozenset[str]:
    """Return the servers of one service that should get no new requests.

    Examples
    --------
    >>> sound = {name: AnswerCounts(20.0, 3.0) for name in "abcd"}
    >>> ejected_servers(sound | {"e": AnswerCounts(20.0, 9.0)})
    frozenset({'e'})
    >>> ejected_servers(sound)
    frozenset()
    """
    if len(counts_by_server) < 2:
        return frozenset()
    all_answers = sum(counts.answers for counts in counts_by_server.values())
    all_failures = sum(counts.failures for counts in counts_by_server.values())
    found = []
    for name, counts in counts_by_server.items():
        share = counts.failures / max(1.0, counts.answers)
        others_answers = max(1.0, all_answers - counts.answers)
        others_share = (all_failures - counts.failures) / others_answers
        is_worse = share > max(MIN_SHARE, SHARE_RATIO * others_share)
        if counts.failures >= MIN_FAILURES and is_worse:
            found.append((share, name))
    limit = int(MAX_EJECTED_SHARE * len(counts_by_server))
    return frozenset(name for _, name in sorted(found, reverse=True)[:limit])
