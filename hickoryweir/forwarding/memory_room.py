"""Keeps the requests of all routers within the memory of each server.

The decisions are in :mod:`hickoryweir.forwarding_policy.server_room`.
"""

import time

from hickoryweir.forwarding import contexts, server_pool
from hickoryweir.forwarding_policy import server_room

NO_SIZES = server_room.Sizes()


def tokens_count(context: contexts.RequestContext) -> int:
    """Return the tokens of a request in a server's memory; 0 without a prompt."""
    prompt = context.metadata.prompt
    if prompt is None:
        return 0
    return server_room.request_tokens_count(
        prompt.input_tokens_count, prompt.max_output_tokens_count
    )


def is_bounded(context: contexts.RequestContext) -> bool:
    """Return whether the memory of servers bounds where a request may be sent."""
    forwarder = context.forwarder
    memory = forwarder.pool.memory_tokens_counts.get(context.service_name, 0)
    is_enabled = bool(memory) and forwarder.settings.bounds_memory
    return is_enabled and context.metadata.prompt is not None


def is_full(context: contexts.RequestContext) -> bool:
    """Return whether all available servers lack the memory for a request."""
    views = server_pool.available_servers(context.forwarder.pool, context.service_name)
    return is_bounded(context) and bool(views) and not with_room(context, views)


def record_size(context: contexts.RequestContext) -> None:
    """Record how many tokens a request takes, for the sizes expected of others."""
    if is_bounded(context):
        sizes, name = context.forwarder.request_sizes, context.service_name
        known = sizes.get(name, NO_SIZES)
        sizes[name] = server_room.learn_sizes(known, tokens_count(context))


def with_room(
    context: contexts.RequestContext, views: list[server_pool.ServerView]
) -> list[server_pool.ServerView]:
    """Return the servers whose memory has room for a request."""
    if not is_bounded(context):
        return views
    pool, now_s = context.forwarder.pool, time.monotonic()
    wanted = tokens_count(context)
    capacity = pool.memory_tokens_counts[context.service_name]
    turns = server_room.Turns(
        routers_count=pool.summed_count or pool.routers_count,
        position=pool.position if pool.summed_count else None,
        router_name=pool.own_host,
        now_s=time.time(),
        sizes=context.forwarder.request_sizes.get(
            context.service_name, server_room.learn_sizes(NO_SIZES, wanted)
        ),
    )
    return [
        view
        for view in views
        if server_room.has_room(
            server_room.Known(
                capacity_tokens_count=capacity,
                own_tokens_count=server_pool.own_memory_tokens_count(view),
                unseen_tokens_count=_unseen(view, now_s),
                others_tokens_count=view.memory.others_tokens_count,
                others_age_s=now_s - view.memory.summed_at_s,
            ),
            wanted,
            turns,
            view.listed.server_id,
        )
    ]


def _unseen(view: server_pool.ServerView, now_s: float) -> int:
    """Return the tokens of requests that the other routers may not know yet."""
    from_s = server_room.unseen_from_s(now_s, view.memory.summed_at_s)
    return sum(
        request.memory_tokens_count
        for request in view.in_flight.values()
        if request.started_s > from_s
    )
