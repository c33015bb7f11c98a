"""A driver with the real policy core and scripted attempts."""

import asyncio
import contextlib
import dataclasses
import time

from hickoryweir.callers import interface, requests, sinks
from hickoryweir.callers.tests import fakes
from hickoryweir.configuration import model
from hickoryweir.daemon import calls, dispatcher, driver
from hickoryweir.observability import metrics
from hickoryweir.outcomes import refusals
from hickoryweir.policy import events, settings

ANSWER = calls.Finished(interface.Response(200, "text/plain", b"done"), 3)


def make_server(name, target, serves):
    return model.BackendServer(
        name, target, "http://127.0.0.1:1", "a", "p", (serves,), 4, 50.0, True
    )


def make_configuration():
    servers = (
        make_server("engine-1", model.Target.MODEL, "assistant"),
        make_server("engine-2", model.Target.MODEL, "assistant"),
        make_server("service-1", model.Target.SERVICE, "top-ups"),
        make_server("service-2", model.Target.SERVICE, "top-ups"),
    )
    return dataclasses.replace(fakes.make_configuration(), backend_servers=servers)


def make_request(class_name, call_id="call-1", deadline_s=5.0):
    configuration = make_configuration()
    found = next(each for each in configuration.classes if each.name == class_name)
    return requests.CallerRequest(
        call_id=call_id,
        request_id=call_id,
        request_class=dataclasses.replace(found, deadline_s=deadline_s),
        account=configuration.accounts[0],
        method="POST",
        path="/run",
        query="",
        headers=(),
        body=b"{}",
        prompt=None,
        fingerprint="f",
        idempotency_key="" if found.idempotent else "key-1",
        received_at_s=time.monotonic(),
    )


def make_failed(ran, cause=events.FailureCause.FAILED):
    return calls.Failed(cause, ran, 0, "failed")


NOT_RUN = make_failed(refusals.Ran.NO, events.FailureCause.CONNECT_REFUSED)
MAYBE_RUN = make_failed(refusals.Ran.MAYBE, events.FailureCause.CRASHED)


@dataclasses.dataclass
class Script:
    """Scripted ends of successive attempts, and a record of the dispatches."""

    ends: list
    dispatches: list = dataclasses.field(default_factory=list)
    finished: list = dataclasses.field(default_factory=list)
    cancelled: int = 0
    gate: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    started: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def run_attempt(self, call, dispatch):
        """Return the next end; for None, wait for the gate and return an answer."""
        call.dispatched = True
        call.claim_proposed = not call.request.request_class.idempotent
        self.dispatches.append(dispatch.backend_server)
        self.started.set()
        end = self.ends.pop(0)
        try:
            if end is None:
                await self.gate.wait()
                end = ANSWER
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        self.finished.append(end)
        return end


@contextlib.asynccontextmanager
async def running_driver(script):
    """Run a dispatcher and yield a driver with scripted attempts."""
    counters = metrics.make_metrics()
    core_dispatcher = dispatcher.make_dispatcher(
        settings.CoreSettings("vm-1", "a"), make_configuration(), counters
    )
    task = asyncio.create_task(dispatcher.run(core_dispatcher))
    try:
        yield driver.make_driver(core_dispatcher, script.run_attempt, counters)
    finally:
        task.cancel()


def make_sink(request):
    return sinks.Sink(None, request.request_id)


async def wait_until_idle(call_driver):
    """Wait until no call or attempt is in flight."""
    while call_driver.tasks:
        await asyncio.wait(set(call_driver.tasks))
