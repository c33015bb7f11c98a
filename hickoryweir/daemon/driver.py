"""Drives one call from its arrival to its single final answer or refusal.

The driver posts the call to the dispatcher and then processes its mailbox: it starts
and cancels attempts as the policy core decides, and reports how they end.  An attempt
of a non-idempotent call is never cancelled while it runs: when the caller disconnects
or the deadline passes, the attempt continues until its outcome is recorded.
"""

import asyncio
import dataclasses
import time
import traceback
from collections.abc import Awaitable, Callable

from returns import result

from hickoryweir.callers import interface, requests, sinks
from hickoryweir.daemon import calls, dispatcher
from hickoryweir.observability import latencies, logs, metrics
from hickoryweir.outcomes import refusals
from hickoryweir.policy import actions, events

Outcome = result.Result[interface.Response, refusals.Refusal]
RunAttempt = Callable[[calls.Call, actions.Dispatch], Awaitable[calls.AttemptEnd]]
OUTCOME_UNKNOWN_RETRY_AFTER_S = 30.0


@dataclasses.dataclass(slots=True, eq=False)
class Driver:
    """The state that all calls of a router share.

    Attributes
    ----------
    run_attempt : function
        Runs one attempt at a backend server.
    tasks : set of asyncio.Task
        Calls, and attempts that outlive them; empty when nothing is in flight.
    calls : set of calls.Call
        Calls without an outcome.
    """

    dispatcher: dispatcher.Dispatcher
    run_attempt: RunAttempt
    metrics: metrics.Metrics
    tasks: set[asyncio.Task]
    calls: set[calls.Call]


def make_driver(
    core_dispatcher: dispatcher.Dispatcher,
    run_attempt: RunAttempt,
    counters: metrics.Metrics,
) -> Driver:
    """Return a driver with no calls in flight."""
    return Driver(core_dispatcher, run_attempt, counters, set(), set())


def track_task(driver: Driver, task: asyncio.Task) -> None:
    """Keep a reference to a task until it ends."""
    driver.tasks.add(task)
    task.add_done_callback(driver.tasks.discard)


async def run(
    driver: Driver, request: requests.CallerRequest, sink: sinks.Sink
) -> Outcome:
    """Serve one call; cancelled when its caller disconnects.

    Parameters
    ----------
    driver : Driver
        The router's driver.
    request : requests.CallerRequest
        The caller's request.
    sink : sinks.Sink
        Receives a streamed answer.

    Returns
    -------
    Result of interface.Response or refusals.Refusal
        The call's final outcome.
    """
    call = calls.make_call(request, sink)
    task = asyncio.create_task(drive(driver, call))
    track_task(driver, task)
    driver.metrics.in_flight.inc()
    task.add_done_callback(lambda _: driver.metrics.in_flight.dec())
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        sinks.detach(sink)
        reason = refusals.Reason.CALLER_LEFT
        driver.metrics.refusals.labels(request.request_class.name, reason).inc()
        if request.request_class.idempotent:
            task.cancel()
        raise


async def drive(driver: Driver, call: calls.Call) -> Outcome:
    """Run a call until its outcome or its deadline, and record the outcome."""
    request = call.request
    attempts: dict[int, asyncio.Task] = {}
    driver.calls.add(call)
    dispatcher.submit(driver.dispatcher, make_arrival(request), call.mailbox)
    try:
        async with asyncio.timeout(request.deadline_s - time.monotonic()):
            outcome = await process_messages(driver, call, attempts)
    except TimeoutError:
        outcome = result.Failure(make_deadline_refusal(call))
    finally:
        driver.calls.discard(call)
        release_call(driver, call, attempts)
    record_outcome(driver, call, outcome)
    return outcome


def make_arrival(request: requests.CallerRequest) -> events.Arrived:
    """Return the event that submits a call to the policy core."""
    prompt = request.prompt
    return events.Arrived(
        request_id=request.call_id,
        class_name=request.request_class.name,
        account=request.account.name,
        input_tokens=prompt.input_tokens if prompt else 0,
        max_output_tokens=prompt.max_output_tokens if prompt else None,
        prefix_digests=prompt.prefix_digests if prompt else (),
        conversation=prompt.conversation if prompt else None,
        fingerprint=request.fingerprint,
        deadline_s=request.deadline_s,
    )


async def process_messages(
    driver: Driver, call: calls.Call, attempts: dict[int, asyncio.Task]
) -> Outcome:
    """Process a call's mailbox until its outcome is final."""
    while True:
        message = await call.mailbox.get()
        match message:
            case actions.Dispatch():
                start_attempt(driver, call, attempts, message)
            case actions.CancelAttempt():
                cancel_attempt(call, attempts, message.attempt)
            case actions.Refuse():
                return result.Failure(message.refusal)
            case calls.AttemptEnded():
                if attempts.pop(message.attempt, None) is None:
                    continue
                outcome = handle_attempt_end(driver, call, message)
                if outcome is not None:
                    return outcome


def start_attempt(
    driver: Driver,
    call: calls.Call,
    attempts: dict[int, asyncio.Task],
    dispatch: actions.Dispatch,
) -> None:
    """Start an attempt's task, which posts its end to the call's mailbox."""

    async def run_attempt() -> None:
        try:
            end = await driver.run_attempt(call, dispatch)
        except Exception as error:
            end = make_fault_end(call, dispatch, error)
        call.mailbox.put_nowait(calls.AttemptEnded(dispatch.attempt, end))

    task = asyncio.create_task(run_attempt())
    attempts[dispatch.attempt] = task
    track_task(driver, task)


def make_fault_end(
    call: calls.Call, dispatch: actions.Dispatch, error: Exception
) -> calls.Failed:
    """Log an unexpected exception and return it as the end of its attempt."""
    fields = logs.Fields(
        request_id=call.request.request_id,
        backend_server=dispatch.backend_server,
        attempt=dispatch.attempt,
        detail="".join(traceback.format_exception(error)),
    )
    logs.error("attempt failed with an unexpected exception", fields)
    ran = refusals.Ran.MAYBE if call.dispatched else refusals.Ran.NO
    return calls.Failed(events.FailureCause.FAILED, ran, 0, "internal error")


def cancel_attempt(
    call: calls.Call, attempts: dict[int, asyncio.Task], attempt: int
) -> None:
    """Cancel an attempt, or mark it to end after the write in progress."""
    task = attempts.pop(attempt, None)
    if task is None or not call.request.request_class.idempotent:
        return
    if call.is_writing and call.winner == attempt:
        call.cancelled_attempts.add(attempt)
    else:
        task.cancel()
    if call.winner == attempt:
        call.winner = None


def handle_attempt_end(
    driver: Driver, call: calls.Call, message: calls.AttemptEnded
) -> Outcome | None:
    """Post an attempt's end; return the call's outcome if it is final."""
    call_id = call.request.call_id
    match message.end:
        case calls.Finished(answer, output_tokens):
            event = events.Completed(call_id, message.attempt, output_tokens)
            dispatcher.end_call(driver.dispatcher, call_id, event)
            return result.Success(answer)
        case calls.Settled(outcome):
            return outcome
        case calls.Failed(cause, ran, output_tokens, _):
            if call.winner == message.attempt:
                call.winner = None
            class_name = call.request.request_class.name
            driver.metrics.retries.labels(class_name, cause).inc()
            event = events.AttemptFailed(
                call_id, message.attempt, cause, ran, output_tokens
            )
            dispatcher.post(driver.dispatcher, event)
            return None


def release_call(
    driver: Driver, call: calls.Call, attempts: dict[int, asyncio.Task]
) -> None:
    """Release a call's resources; non-idempotent attempts continue."""
    call_id = call.request.call_id
    idempotent = call.request.request_class.idempotent
    if idempotent:
        for task in attempts.values():
            task.cancel()
    if call_id not in driver.dispatcher.mailboxes:
        return
    withdrawn = events.Withdrawn(call_id)
    if idempotent or not attempts:
        dispatcher.end_call(driver.dispatcher, call_id, withdrawn)
        return
    driver.dispatcher.mailboxes.pop(call_id)

    async def wait_for_attempts() -> None:
        await asyncio.wait(attempts.values())
        dispatcher.post(driver.dispatcher, withdrawn)

    track_task(driver, asyncio.create_task(wait_for_attempts()))


def refuse_calls(driver: Driver, reason: refusals.Reason, message: str) -> None:
    """Give each call that has no outcome its final refusal."""
    for call in driver.calls:
        refusal = make_early_refusal(call, reason, message)
        call.mailbox.put_nowait(actions.Refuse(call.request.call_id, refusal))


def make_deadline_refusal(call: calls.Call) -> refusals.Refusal:
    """Return the refusal of a call whose deadline has passed."""
    reason = refusals.Reason.DEADLINE_EXCEEDED
    return make_early_refusal(call, reason, "the class's deadline has passed")


def make_early_refusal(
    call: calls.Call, reason: refusals.Reason, message: str
) -> refusals.Refusal:
    """Return the refusal of a call that ends before its attempts do."""
    if call.claim_proposed:
        return refusals.make_refusal(
            refusals.Reason.OUTCOME_UNKNOWN,
            "the outcome is not known yet; retry with the same idempotency key",
            OUTCOME_UNKNOWN_RETRY_AFTER_S,
            refusals.Ran.MAYBE,
        )
    ran = refusals.Ran.MAYBE if call.dispatched else refusals.Ran.NO
    return refusals.make_refusal(reason, message, 1.0, ran)


def record_outcome(driver: Driver, call: calls.Call, outcome: Outcome) -> None:
    """Record a call's outcome, its latency and whether it met its targets."""
    request = call.request
    class_name = request.request_class.name
    answered = isinstance(outcome, result.Success)
    now_s = time.monotonic()
    answer_s = now_s - request.received_at_s
    met = answered and meets_targets(call, answer_s)
    driver.metrics.calls.labels(class_name, "answered" if answered else "refused").inc()
    driver.metrics.attainment.labels(class_name, "yes" if met else "no").inc()
    driver.metrics.output_tokens.labels(class_name).inc(call.sent_tokens)
    if not answered:
        return
    store = driver.metrics.latencies
    store.record(class_name, latencies.Interval.ANSWER, answer_s)
    fields = logs.Fields(
        request_id=request.request_id,
        class_name=class_name,
        account=request.account.name,
        duration_s=round(answer_s, 6),
    )
    logs.info("call answered", fields)


def meets_targets(call: calls.Call, answer_s: float) -> bool:
    """Return whether an answered call met its class's latency targets."""
    request_class = call.request.request_class
    if not call.request.stream or not call.first_token_at_s:
        return answer_s <= request_class.answer_target_s
    first_token_s = call.first_token_at_s - call.request.received_at_s
    between_s = mean_between_tokens_s(call)
    on_time = first_token_s <= request_class.first_token_target_s
    return on_time and between_s <= request_class.between_tokens_target_s


def mean_between_tokens_s(call: calls.Call) -> float:
    """Return the mean time between tokens of a stream; 0 for a single token."""
    if call.sent_tokens < 2:
        return 0.0
    span_s = call.last_token_at_s - call.first_token_at_s
    return span_s / (call.sent_tokens - 1)
