"""Notices connections to servers that have gone silent while requests wait on them.

A middlebox may acknowledge bytes that a server never gets, or lose those of the server,
so TCP shows nothing.  A server may as well be slow.  A new connection tells the two
apart: a server that has a slot for a health check would have begun a request that it
got before.

Kept connections that were not heard since the request was sent are then closed.  A
request that may run again is sent once more to the same server, over a new connection;
the first response counts.  The first connection stays open meanwhile, so that a request
that is only slow loses nothing.
"""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable

from hickoryweir import clocks
from hickoryweir.engines import framing
from hickoryweir.forwarding import contexts, exchange, probing, server_pool, sockets
from hickoryweir.forwarding_policy import next_attempts
from hickoryweir.observability import logs

# Health checks take slots of busy servers.
CHECK_INTERVAL_S = 1.0
# The request that asks a server does so for all that wait there.
RECHECK_INTERVAL_S = 0.1

SendOnce = Callable[[], Awaitable[exchange.Outcome]]


@dataclasses.dataclass(slots=True)
class SecondSend:
    """A second send of a request, from the moment at which the first one is late.

    Attributes
    ----------
    task : asyncio.Task or None
        Watches the connection, and returns the outcome of the second send if there
        was one; None while the first send is not late.
    is_sent : bool
        Whether the request was sent a second time.
    is_first_over : bool
        Whether the first send has ended by itself, so that it can't be ended any more.
    """

    task: asyncio.Task | None = None
    is_sent: bool = False
    is_first_over: bool = False


async def send(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    send_once: SendOnce,
    may_send_again: Callable[[], bool],
) -> exchange.Outcome:
    """Send a request, over two connections if the first one has gone silent.

    Parameters
    ----------
    context : contexts.RequestContext
        The request.
    view : server_pool.ServerView
        The server to send it to.
    send_once : callable
        Sends it and returns the outcome.
    may_send_again : callable
        Returns whether it may be sent a second time, and counts that.
    """
    after_s = next_attempts.silent_after_s(
        context.route, context.in_flight.expected_wait_s
    )
    if after_s >= context.time_left_s:
        return await send_once()
    loop, sent_at_s, second = asyncio.get_running_loop(), time.monotonic(), SecondSend()

    async def watch() -> exchange.Outcome | None:
        await _wait_for_silence(context, view, sent_at_s)
        if not may_send_again():
            return None
        second.is_sent = True
        sockets.max_reused_idle_s.set(sockets.NO_IDLE_S)
        outcome = await send_once()
        if isinstance(outcome, exchange.Answered) and not second.is_first_over:
            end_first.reschedule(loop.time())
        return outcome

    def begin_to_watch() -> None:
        second.task = asyncio.create_task(watch())

    timer = loop.call_later(after_s, begin_to_watch)
    chosen = None
    try:
        try:
            async with asyncio.timeout(None) as end_first:
                first_outcome = await send_once()
        except TimeoutError:
            chosen = second.task.result()
            return chosen
        second.is_first_over = True
        chosen = await _choose(first_outcome, second)
        return chosen
    finally:
        timer.cancel()
        await _end_second(second, chosen)


async def _choose(
    first_outcome: exchange.Outcome, second: SecondSend
) -> exchange.Outcome:
    """Return the outcome that counts; a send that was lost may have run."""
    if isinstance(first_outcome, exchange.Answered) or not second.is_sent:
        return first_outcome
    outcome = await second.task
    if isinstance(first_outcome, exchange.Lost):
        return outcome if isinstance(outcome, exchange.Answered) else first_outcome
    return outcome


async def _end_second(second: SecondSend, chosen: exchange.Outcome | None) -> None:
    """Close the connection of the second send, unless its response is used."""
    if second.task is None:
        return
    second.task.cancel()
    (outcome,) = await asyncio.gather(second.task, return_exceptions=True)
    if isinstance(outcome, exchange.Answered) and outcome is not chosen:
        framing.close_connection(outcome.response)


async def _wait_for_silence(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    sent_at_s: float,
) -> None:
    """Return once the connection of a request is known to be silent."""
    while view.served_check_at_s <= sent_at_s:
        asked_at_s = time.monotonic()
        if asked_at_s - view.slot_asked_at_s >= CHECK_INTERVAL_S:
            view.slot_asked_at_s = asked_at_s
            if await probing.has_slot(context.forwarder, view):
                view.served_check_at_s = asked_at_s
                break
        await asyncio.sleep(RECHECK_INTERVAL_S)
    # Both sessions share it.
    context.forwarder.retryable_session.connector.close_unheard(sent_at_s)
    fields = logs.Fields(
        request_id=context.metadata.request_id,
        class_name=context.route.name,
        backend_server=view.listed.server_id,
        duration_s=round(clocks.boottime_s() - context.started_s, 4),
        detail="the server has a slot for a later health check",
    )
    logs.warning("connection to a server is silent", fields)
