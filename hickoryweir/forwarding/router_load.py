"""Measures the use of the VM's limits, and refuses requests beyond them.

The decisions are in :mod:`hickoryweir.forwarding_policy.router_capacity`.  Bytes are
counted where requests and responses pass, since the counters of a network interface
include other processes.
"""

import asyncio
import os
import time

from hickoryweir.forwarding import contexts, held_bytes, open_requests
from hickoryweir.forwarding_policy import router_capacity
from hickoryweir.observability import logs
from hickoryweir.routes import model

SAMPLE_INTERVAL_S = 0.25
DESCRIPTORS_FOLDER = "/proc/self/fd"
# Headers of a request or a response, with those of its packets.
HEAD_SIZE_BYTES = 1024
# A refused client that comes back sooner finds the same use.
RETRY_AFTER_S = 0.5
# Of the time that is left for a request, the response may need this much for the link.
TRANSFER_SHARE = 0.8


async def run(forwarder: contexts.Forwarder) -> None:
    """Measure until cancelled; return at once if no limit is known."""
    capacity = forwarder.capacity
    if capacity.limits == router_capacity.NO_LIMITS:
        return
    while True:
        refused_before = dict(capacity.refused_from)
        router_capacity.record(capacity, _take_sample(forwarder))
        for resource, use in capacity.uses.items():
            forwarder.metrics.limit_use.labels(resource.value).set(use)
        if capacity.refused_from != refused_before:
            logs.info(
                "capacity of this router", logs.Fields(detail=describe(forwarder))
            )
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def _take_sample(forwarder: contexts.Forwarder) -> router_capacity.Sample:
    return router_capacity.Sample(
        time.monotonic(),
        forwarder.received_size_bytes,
        forwarder.sent_size_bytes,
        time.process_time(),
        _count_descriptors(forwarder),
    )


def _count_descriptors(forwarder: contexts.Forwarder) -> int:
    """Return the number of open descriptors; the limit if none is left to list them."""
    try:
        return len(os.listdir(DESCRIPTORS_FOLDER))
    except OSError as error:
        fields = logs.Fields(reason=str(error))
        logs.warning("descriptors can't be counted", fields)
        return forwarder.capacity.limits.descriptors_count


def describe(forwarder: contexts.Forwarder) -> str:
    """Return the uses, and which requests are refused for them, for log lines."""
    capacity = forwarder.capacity
    uses = [f"{resource} {use:.2f}" for resource, use in capacity.uses.items()]
    refused = [
        f"priorities from {number} for {resource}"
        for resource, number in capacity.refused_from.items()
    ]
    return f"{', '.join(uses)}; refused: {', '.join(refused) or 'none'}"


def count_passed(
    forwarder: contexts.Forwarder, received_size_bytes: int, sent_size_bytes: int
) -> None:
    """Count the bytes of a request or a response, with its head."""
    forwarder.received_size_bytes += HEAD_SIZE_BYTES + received_size_bytes
    forwarder.sent_size_bytes += HEAD_SIZE_BYTES + sent_size_bytes


def find_refusal(
    forwarder: contexts.Forwarder,
    request: open_requests.OpenRequest,
    route: model.Route,
    account: model.ClientAccount | None,
    time_left_s: float,
) -> str | None:
    """Return why this router has no capacity for a request; None if it has.

    Parameters
    ----------
    forwarder : contexts.Forwarder
        State of the router.
    request : open_requests.OpenRequest
        Record of the request.
    route : model.Route
        Its route.
    account : model.ClientAccount or None
        Its client account, if any.
    time_left_s : float
        Time until its final response is due.
    """
    capacity = forwarder.capacity
    if capacity.limits == router_capacity.NO_LIMITS:
        return None
    priority = held_bytes.priority_of(route, account)
    verdict, _ = router_capacity.decide(capacity, priority)
    if verdict is router_capacity.Verdict.REFUSE:
        return describe(forwarder)
    size_bytes = int(forwarder.response_sizes_bytes.get(route.name, 0))
    queued_size_bytes = sum(
        held_bytes.waiting_size_bytes(connection, other)
        for connection, other in forwarder.open_requests.items()
        if other is not request
    )
    needed_s = router_capacity.transfer_s(
        capacity.limits, size_bytes, queued_size_bytes
    )
    if needed_s > TRANSFER_SHARE * time_left_s:
        return f"{needed_s:.2f} s for the link, {time_left_s:.2f} s left"
    return None
