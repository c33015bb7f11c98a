"""A request's way through the router: route, account, attempts, answer.

A :class:`~hickoryweir.forwarding.passages.Forwarder` holds what the router knows;
:func:`serve` carries one request through it and is cancelled when the client goes
away, which ends the attempt at the backend server as well.
"""

import asyncio
import time

import aiohttp
from aiohttp import web

from hickoryweir import clocks
from hickoryweir.forwarding import (
    answers,
    border,
    exchange,
    passages,
    placing,
    replies,
    requests,
    server_pool,
)
from hickoryweir.observability import latencies, logs
from hickoryweir.policy import (
    crash_counts,
    next_attempts,
    prompt_placement,
    retry_budget,
)
from hickoryweir.routes import matching, model

# Until a table has come; replicas hand one on within a second of their first leader.
NO_TABLE_RETRY_AFTER_S = 1.0
RETRY_AFTERS_S = {
    replies.Reason.NO_TABLE: NO_TABLE_RETRY_AFTER_S,
    replies.Reason.CRASHES_SERVERS: crash_counts.RETENTION_S,
}
# A server that just failed is tried again after half a second.
UNREACHABLE_RETRY_AFTER_S = 0.5
# Connections that were never made cost no attempt, but each takes time.
MAX_UNSENT_COUNT = 4


async def serve(
    forwarder: passages.Forwarder, client: web.BaseRequest
) -> web.StreamResponse:
    """Return the final answer to a request, which may already be on its way."""
    facts = forwarder.rules.read_call(client.headers)
    admitted = await _admit(forwarder, client, facts)
    if isinstance(admitted, replies.Reason):
        return _refuse(forwarder, facts.request_id, admitted)
    budget = _budget(forwarder, admitted.service_name)
    retry_budget.record_request(budget, time.monotonic())
    forwarder.metrics.open_requests.inc()
    try:
        async with asyncio.timeout(admitted.time_left_s):
            reply = await _attempt_all(admitted)
    except TimeoutError:
        reply = _give_up_at_deadline(admitted)
    finally:
        forwarder.metrics.open_requests.dec()
    if forwarder.is_draining:
        reply.force_close()
    return reply


async def _admit(
    forwarder: passages.Forwarder, client: web.BaseRequest, facts: border.CallFacts
) -> passages.Passage | replies.Reason:
    started_s = clocks.elapsed_s()
    directory = forwarder.directory
    if directory is None:
        return replies.Reason.NO_TABLE
    path = requests.path_of(client.raw_path)
    if path is None or not client.host:
        return replies.Reason.REQUEST_INVALID
    host = client.host.partition(":")[0]
    route = matching.find_route(directory, host, path)
    if route is None:
        return replies.Reason.NO_ROUTE
    account = directory.accounts_by_key.get(facts.key) if facts.key else None
    is_closed = directory.table.accounts and not route.allows_anonymous
    if is_closed and account is None:
        return replies.Reason.KEY_UNKNOWN
    limits = directory.table.limits
    body = await requests.read_body(client, limits.max_body_size_bytes)
    if isinstance(body, replies.Reason):
        return body
    fingerprint = crash_counts.fingerprint(
        facts.key, client.method, client.raw_path, body
    )
    if crash_counts.is_blocked(forwarder.crashes, fingerprint, started_s):
        return replies.Reason.CRASHES_SERVERS
    wait_s = route.timeout_s
    if facts.time_left_s is not None:
        wait_s = min(wait_s, facts.time_left_s)
    return passages.Passage(
        forwarder=forwarder,
        client=client,
        facts=facts,
        route=route,
        service_name=matching.choose_service(route, forwarder.generator),
        account=account,
        body=body,
        fingerprint=fingerprint,
        started_s=started_s,
        deadline_s=started_s + wait_s,
        last_event_id=facts.last_event_id,
    )


def _refuse(
    forwarder: passages.Forwarder,
    request_id: str,
    reason: replies.Reason,
    retry_after_s: float | None = None,
    route_name: str = "",
    detail: str | None = None,
) -> web.Response:
    forwarder.metrics.answers.labels(route_name, reason.value).inc()
    directory = forwarder.directory
    version = None if directory is None else directory.table.version
    fields = logs.Fields(
        request_id=request_id,
        class_name=route_name or None,
        reason=reason.value,
        version=version,
        detail=detail,
    )
    logs.info("request answered by the router", fields)
    if retry_after_s is None:
        retry_after_s = RETRY_AFTERS_S.get(reason)
    return replies.make_reply(reason, request_id, retry_after_s)


def _budget(forwarder: passages.Forwarder, service_name: str) -> retry_budget.Budget:
    found = forwarder.budgets.get(service_name)
    if found is None:
        found = retry_budget.Budget(forwarder.settings.budget)
        forwarder.budgets[service_name] = found
    return found


async def _attempt_all(passage: passages.Passage) -> web.StreamResponse:
    reason = replies.Reason.NO_SERVER
    while True:
        placement = placing.choose(passage)
        if placement is None or not _may_send(passage):
            return _give_up(passage, reason)
        passage.placement = placement
        if not passage.sent_count:
            passage.retry_after_s = placing.find_overload(passage, placement)
            if passage.retry_after_s is not None:
                return _give_up(passage, replies.Reason.OVERLOADED)
        outcome = await _attempt(passage, placement)
        if isinstance(outcome, web.StreamResponse):
            _note_passed_on(passage)
            return outcome
        reason = outcome


def _note_passed_on(passage: passages.Passage) -> None:
    metrics = passage.forwarder.metrics
    name = passage.route.name
    metrics.answers.labels(name, "passed_on").inc()
    answer_s = clocks.elapsed_s() - passage.started_s
    metrics.latencies.record(name, latencies.Interval.ANSWER, answer_s)


def _may_send(passage: passages.Passage) -> bool:
    """Return whether the next attempt may be made, and take it from the budget."""
    route = passage.route
    if passage.unsent_count > MAX_UNSENT_COUNT:
        return False
    if not passage.sent_count:
        return True
    ran = next_attempts.Ran.MAYBE if passage.may_have_run else next_attempts.Ran.NO
    if passage.sent_count >= route.max_attempts_count:
        return False
    if not next_attempts.may_run_again(route.execution, ran):
        return False
    if not next_attempts.is_worth_sending(route, passage.time_left_s):
        return False
    forwarder = passage.forwarder
    now_s = clocks.elapsed_s()
    if crash_counts.is_blocked(forwarder.crashes, passage.fingerprint, now_s):
        return False
    budget = _budget(forwarder, passage.service_name)
    taken = retry_budget.try_acquire(budget, forwarder.routers_count, time.monotonic())
    allowed = "yes" if taken else "no"
    forwarder.metrics.second_sends.labels(passage.service_name, allowed).inc()
    return taken


async def _attempt(
    passage: passages.Passage, placement: prompt_placement.Placement
) -> web.StreamResponse | replies.Reason:
    forwarder = passage.forwarder
    view = forwarder.pool.servers[placement.server_id]
    passage.tried.add(view.listed.server_id)
    passage.own_requests_count = len(view.running)
    number = forwarder.next_number = forwarder.next_number + 1
    now_s = time.monotonic()
    passage.running = server_pool.Running(placement.uncached_tokens_count, now_s)
    view.running[number] = passage.running
    if passage.facts.prompt is not None:
        server_pool.note_parts(view, passage.facts.prompt.parts, now_s)
    try:
        return await _exchange(passage, view)
    except asyncio.CancelledError:
        # The client's time is up, or it has left.
        waited_s = time.monotonic() - now_s
        if not passage.has_answer:
            _log_attempt(passage, view, "Ended", "no answer in the client's time")
        if not passage.has_answer and next_attempts.is_unresponsive(
            passage.route, waited_s
        ):
            server_pool.note_bad_answer(view, now_s + waited_s)
        raise
    finally:
        view.running.pop(number, None)


async def _exchange(
    passage: passages.Passage, view: server_pool.ServerView
) -> web.StreamResponse | replies.Reason:
    forwarder = passage.forwarder
    is_single = passage.route.execution is model.Execution.AT_MOST_ONCE
    session = forwarder.single_session if is_single else forwarder.repeatable_session
    passage.sent_count += 1
    passage.has_answer = False
    outcome = await _send(passage, session, _make_call(passage, view))
    now_s = time.monotonic()
    _log_attempt(passage, view, type(outcome).__name__, getattr(outcome, "reason", ""))
    match outcome:
        case exchange.NotSent():
            passage.sent_count -= 1
            passage.unsent_count += 1
            server_pool.note_failure(view, now_s)
            return replies.Reason.SERVER_UNREACHABLE
        case exchange.NotRun():
            if outcome.facts.is_other_server:
                view.is_leaving = True
            return replies.Reason.SERVER_REFUSED
        case exchange.Lost():
            passage.may_have_run = True
            passages.note_lost(passage, view.listed.server_id)
            server_pool.note_bad_answer(view, now_s)
            return replies.Reason.OUTCOME_UNKNOWN
        case exchange.Answered():
            passage.has_answer = True
            return await answers.pass_on(passage, view, outcome)


async def _send(
    passage: passages.Passage, session: aiohttp.ClientSession, call: exchange.Call
) -> exchange.Outcome:
    usable = server_pool.usable(passage.forwarder.pool, passage.service_name)
    others = {view.listed.server_id for view in usable} - passage.tried
    left_count = min(len(others), passage.route.max_attempts_count - passage.sent_count)
    timeout_s = next_attempts.answer_timeout_s(
        passage.route, left_count, passage.time_left_s
    )
    if timeout_s >= passage.time_left_s:
        return await exchange.send(session, call, passage.forwarder.rules)
    try:
        async with asyncio.timeout(timeout_s):
            return await exchange.send(session, call, passage.forwarder.rules)
    except TimeoutError:
        return exchange.Lost("no answer in time")


def _make_call(
    passage: passages.Passage, view: server_pool.ServerView
) -> exchange.Call:
    account = passage.account
    sending = border.Sending(
        server_id=view.listed.server_id,
        account_name="" if account is None else account.name,
        time_left_s=passage.time_left_s,
        urgency=placing.priority_of(passage) if passage.route.has_prompt else None,
        last_event_id=passage.last_event_id,
    )
    return exchange.Call(
        method=passage.client.method,
        address=view.listed.address,
        target=passage.client.raw_path,
        headers=passage.forwarder.rules.make_headers(passage.client.headers, sending),
        body=passage.body,
        request_id=passage.facts.request_id,
    )


def _log_attempt(
    passage: passages.Passage, view: server_pool.ServerView, kind: str, cause: str
) -> None:
    forwarder = passage.forwarder
    forwarder.metrics.attempts.labels(passage.service_name, kind).inc()
    age_s = clocks.elapsed_s() - forwarder.list_read_at_s
    logs.info(
        "request sent",
        logs.Fields(
            request_id=passage.facts.request_id,
            class_name=passage.route.name,
            reason=f"{kind}: {cause}" if cause else kind,
            backend_server=view.listed.server_id,
            attempt=passage.sent_count,
            version=forwarder.directory.table.version,
            duration_s=round(clocks.elapsed_s() - passage.started_s, 4),
            detail=f"list {age_s:.2f} s old, {_explain(passage)}",
        ),
    )


def _explain(passage: passages.Passage) -> str:
    """Return what decided where the present attempt went."""
    text = f"{passage.own_requests_count} own requests there"
    if passage.facts.prompt is None:
        return text
    chosen = passage.placement
    part_id = placing.shared_parts(passage.facts.prompt.parts)[-1].part_id
    return (
        f"{text}, urgency {placing.priority_of(passage)}, part {part_id}, "
        f"{chosen.uncached_tokens_count} tokens to read after "
        f"{chosen.backlog_tokens_count} of others"
    )


def _give_up(passage: passages.Passage, reason: replies.Reason) -> web.StreamResponse:
    """Return the final answer of a request that no server answered whole."""
    if passage.reply is not None:
        return answers.break_off(passage)
    if passage.failure is not None:
        return passage.failure
    retry_after_s = None
    if passage.may_have_run:
        reason = replies.Reason.OUTCOME_UNKNOWN
    else:
        retry_after_s = passage.retry_after_s or UNREACHABLE_RETRY_AFTER_S
    request_id = passage.facts.request_id
    name = passage.route.name
    detail = None
    if reason is replies.Reason.OVERLOADED:
        detail = _explain_refusal(passage, retry_after_s)
    return _refuse(passage.forwarder, request_id, reason, retry_after_s, name, detail)


def _explain_refusal(passage: passages.Passage, retry_after_s: float) -> str:
    """Return what decided that a prompt is not taken now."""
    least = passage.placement
    return (
        f"{least.backlog_tokens_count} tokens to read before it at {least.server_id}, "
        f"urgency {placing.priority_of(passage)}, back in {retry_after_s:.1f} s"
    )


def _give_up_at_deadline(passage: passages.Passage) -> web.StreamResponse:
    if passage.reply is not None:
        return answers.break_off(passage)
    reason = replies.Reason.TIMED_OUT
    request_id = passage.facts.request_id
    name = passage.route.name
    return _refuse(passage.forwarder, request_id, reason, None, name)
