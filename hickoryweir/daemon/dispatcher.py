"""The task that owns the policy core and delivers its actions to calls.

Every other task posts events to the dispatcher's inbox; the dispatcher applies
them to the core in order and puts each action into the mailbox of its call.
"""

import asyncio
import dataclasses
import time

from hickoryweir.configuration import model
from hickoryweir.observability import logs, metrics
from hickoryweir.policy import actions, core, events, settings, state

TICK_INTERVAL_S = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class Dispatcher:
    """The policy core with its inbox and the mailboxes of calls in flight.

    Attributes
    ----------
    core : state.Core
        Owned by the task that runs :func:`run`.
    inbox : asyncio.Queue of events.Event
        Events from other tasks.
    mailboxes : dict
        Mailbox of each call, by request id.
    """

    core: state.Core
    inbox: asyncio.Queue
    mailboxes: dict[str, asyncio.Queue]
    metrics: metrics.Metrics


def make_dispatcher(
    core_settings: settings.CoreSettings,
    configuration: model.Configuration,
    counters: metrics.Metrics,
) -> Dispatcher:
    """Return a dispatcher for a configuration, without calls."""
    made = core.make_core(core_settings, configuration)
    return Dispatcher(made, asyncio.Queue(), {}, counters)


def submit(
    dispatcher: Dispatcher, arrived: events.Arrived, mailbox: asyncio.Queue
) -> None:
    """Submit a call; its actions are delivered to the mailbox."""
    dispatcher.mailboxes[arrived.request_id] = mailbox
    dispatcher.inbox.put_nowait(arrived)


def post(dispatcher: Dispatcher, event: events.Event) -> None:
    """Post an event to the policy core."""
    dispatcher.inbox.put_nowait(event)


def end_call(dispatcher: Dispatcher, request_id: str, event: events.Event) -> None:
    """Post the event that ends a call and remove its mailbox."""
    dispatcher.mailboxes.pop(request_id, None)
    dispatcher.inbox.put_nowait(event)


async def run(dispatcher: Dispatcher) -> None:
    """Apply events for as long as the daemon runs."""
    ticker = asyncio.create_task(tick(dispatcher))
    try:
        while True:
            event = await dispatcher.inbox.get()
            apply(dispatcher, event)
    finally:
        ticker.cancel()


async def tick(dispatcher: Dispatcher) -> None:
    """Post a tick event at a fixed interval."""
    while True:
        await asyncio.sleep(TICK_INTERVAL_S)
        post(dispatcher, events.Ticked())


def apply(dispatcher: Dispatcher, event: events.Event) -> None:
    """Apply one event and deliver the resulting actions."""
    if isinstance(event, events.AttemptFailed):
        fields = logs.Fields(
            request_id=event.request_id,
            attempt=event.attempt,
            reason=str(event.cause),
        )
        logs.info("attempt failed", fields)
    for action in core.handle(dispatcher.core, event, time.monotonic()):
        deliver(dispatcher, action)


def deliver(dispatcher: Dispatcher, action: actions.Action) -> None:
    """Put an action into the mailbox of its call, if the call is still open."""
    mailbox = dispatcher.mailboxes.get(action.request_id)
    if mailbox is not None:
        mailbox.put_nowait(action)
