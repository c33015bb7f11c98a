"""Counts of requests by service that decide how many servers are ordered."""

import dataclasses

from hickoryweir.feeds import messages
from hickoryweir.forwarding import contexts, errors

# Refusals that servers with room would have avoided.
SHORTAGE_REASONS = frozenset(
    {
        errors.Reason.NO_SERVER,
        errors.Reason.OVERLOADED,
        errors.Reason.SERVER_REFUSED,
        errors.Reason.SERVERS_FULL,
        errors.Reason.SERVERS_PAUSED,
    }
)


def record_sent(context: contexts.RequestContext) -> None:
    """Count a request that is sent to its first server."""
    counts = _counts_of(context)
    counts.admitted_count += 1
    counts.admitted_tokens_count += _tokens_count(context)


def record_refused(context: contexts.RequestContext, reason: errors.Reason) -> None:
    """Count a request that is refused, if servers with room would have avoided it."""
    if reason not in SHORTAGE_REASONS or context.forwarder.pool.is_isolated:
        return
    counts = _counts_of(context)
    counts.refused_count += 1
    counts.refused_tokens_count += _tokens_count(context)


def _counts_of(context: contexts.RequestContext) -> contexts.ServiceCounts:
    demand = context.forwarder.demand
    return demand.setdefault(context.service_name, contexts.ServiceCounts())


def _tokens_count(context: contexts.RequestContext) -> int:
    """Return the tokens to prefill; all of the prompt's if no server was chosen."""
    prompt = context.metadata.prompt
    if prompt is None:
        return 0
    if context.placement is None:
        return prompt.input_tokens_count
    return context.placement.uncached_tokens_count


def make_message(
    forwarder: contexts.Forwarder, process_id: int
) -> messages.ServiceDemand:
    """Return the counts to send to the replicas."""
    return messages.ServiceDemand(
        process_id,
        tuple(
            messages.ServiceCounts(
                name,
                *dataclasses.astuple(counts),
                len(forwarder.waiting[name].urgencies)
                if name in forwarder.waiting
                else 0,
            )
            for name, counts in sorted(forwarder.demand.items())
        ),
    )
