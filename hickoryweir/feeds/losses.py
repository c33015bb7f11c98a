"""Messages of lost requests, as the state of routers and replicas."""

import collections

from hickoryweir.feeds import messages
from hickoryweir.forwarding_policy import crash_counts

# Most requests that a crash loses are in no other one.
MIN_SAVED_LOSSES_COUNT = 2


def make_messages(
    counts: crash_counts.CrashCounts, now_s: float, min_losses_count: int = 1
) -> list[messages.RequestsLost]:
    """Return messages with the requests that were lost so often at least.

    Examples
    --------
    >>> counts = crash_counts.CrashCounts()
    >>> for request in (7, 8):
    ...     _ = crash_counts.record_loss(counts, request, "a", 1.0)
    >>> make_messages(counts, 3.0)
    [RequestsLost(server_id='a', fingerprints=(7, 8), age_s=2.0)]
    """
    groups = collections.defaultdict(list)
    for request, servers in counts.servers.items():
        if len(servers) < min_losses_count:
            continue
        for server_id, lost_s in servers.items():
            groups[server_id, lost_s].append(request)
    return [
        messages.RequestsLost(server_id, tuple(requests), now_s - lost_s)
        for (server_id, lost_s), requests in groups.items()
    ]


def record_lost(
    counts: crash_counts.CrashCounts, message: messages.RequestsLost, now_s: float
) -> bool:
    """Record what a message says; return whether any of it is news."""
    lost_s = now_s - message.age_s
    news = [
        crash_counts.record_loss(counts, request, message.server_id, lost_s)
        for request in message.fingerprints
    ]
    return any(news)


def are_worth_saving(
    counts: crash_counts.CrashCounts, message: messages.RequestsLost
) -> bool:
    """Return whether any request of a message was lost before."""
    return any(
        len(counts.servers.get(request, ())) >= MIN_SAVED_LOSSES_COUNT
        for request in message.fingerprints
    )


def record_completed(
    counts: crash_counts.CrashCounts,
    message: messages.RequestsCompleted,
    now_s: float,
) -> bool:
    """Record what a message says; return whether any of it is news."""
    completed_s = now_s - message.age_s
    news = [
        crash_counts.clear(counts, request, completed_s) > 0
        for request in message.fingerprints
    ]
    return any(news)
