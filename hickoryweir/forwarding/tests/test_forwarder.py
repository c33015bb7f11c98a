"""Tests of requests through a router over loopback sockets."""

import asyncio
import dataclasses
import time

import pytest
from aiohttp import web

from hickoryweir.discovery import listing
from hickoryweir.forwarding import contexts, headers, server_pool
from hickoryweir.forwarding.tests import sites
from hickoryweir.forwarding_policy import crash_counts, retry_budget
from hickoryweir.observability import logs
from hickoryweir.routes import matching, model
from hickoryweir.routes.tests import tables
from hickoryweir.testing import waiting


def run(answers, scenario, **options):
    async def main():
        async with sites.run_site(answers, **options) as site:
            return await scenario(site)

    return asyncio.run(main())


async def drop(request, body):
    """Abort the connection without a response."""
    request.transport.abort()
    return web.Response()


def dropping_first(count, then):
    """Return a backend function that drops the first `count` requests."""
    left = [count]

    async def answer(request, body):
        if left[0]:
            left[0] -= 1
            return await drop(request, body)
        return await then(request, body)

    return answer


def test_method_path_query_and_body_are_forwarded_unchanged():
    async def scenario(site):
        await site.call("PUT", "/chat/a%2Fb?c=%20d&c", data=b"\x00body")
        return site.backends[0].seen[0]

    request, body = run([sites.answering()], scenario)
    assert (request.method, request.raw_path) == ("PUT", "/chat/a%2Fb?c=%20d&c")
    assert body == b"\x00body"


def test_key_is_removed_and_the_account_name_is_forwarded():
    account = model.ClientAccount("north", ("k1",), None)

    async def scenario(site):
        given = {"Authorization": "Bearer k1", headers.ACCOUNT_NAME: "forged"}
        await site.call(given=given)
        return site.backends[0].seen[0][0].headers

    routes = (tables.make_route(),)
    seen = run([sites.answering()], scenario, routes=routes, accounts=(account,))
    assert "Authorization" not in seen
    assert seen.getall(headers.ACCOUNT_NAME) == ["north"]


def test_unknown_key_is_refused_without_contacting_a_server():
    account = model.ClientAccount("north", ("k1",), None)

    async def scenario(site):
        status, _, _ = await site.call(given={"Authorization": "Bearer k2"})
        return status, site.backends[0].seen

    routes = (tables.make_route(),)
    assert run([sites.answering()], scenario, routes=routes, accounts=(account,)) == (
        401,
        [],
    )


def test_every_key_is_refused_once_the_last_account_is_removed():
    async def scenario(site):
        forwarder = site.forwarder
        table = forwarder.route_index.table
        forwarder.route_index = matching.make_index(
            dataclasses.replace(table, accounts=(), checks_keys=True)
        )
        given = {"Authorization": "Bearer k1"}
        statuses = [(await site.call(given=given))[0], (await site.call())[0]]
        return statuses, site.backends[0].seen

    account = model.ClientAccount("north", ("k1",), None)
    routes = (tables.make_route(),)
    assert run([sites.answering()], scenario, routes=routes, accounts=(account,)) == (
        [401, 401],
        [],
    )


def test_unknown_path_is_not_found():
    async def scenario(site):
        return (await site.call(path="/elsewhere/"))[0]

    assert run([sites.answering()], scenario) == 404


def test_response_without_a_table_has_retry_after():
    async def scenario(site):
        site.forwarder.route_index = None
        status, given, _ = await site.call()
        return status, float(given["Retry-After"]) > 0

    assert run([sites.answering()], scenario) == (503, True)


def test_idempotent_request_is_retried_on_a_second_server():
    answer = dropping_first(1, sites.answering())

    async def scenario(site):
        status, _, body = await site.call()
        return status, body, sum(len(item.seen) for item in site.backends)

    assert run([answer, answer], scenario) == (200, b"whole", 2)


def test_at_most_once_request_is_not_retried_after_a_connection_loss():
    async def scenario(site):
        status, given, _ = await site.call()
        return status, "Retry-After" in given, [len(b.seen) for b in site.backends]

    status, may_retry, seen = run(
        [drop, drop], scenario, routes=(sites.at_most_once_route(),)
    )
    assert (status, may_retry, sum(seen)) == (502, False, 1)


def test_at_most_once_request_is_retried_if_it_has_not_run():
    full = sites.answering(503, **{headers.NOT_RUN: "1"})
    answer_by_order = [full, sites.answering()]

    async def answer(request, body):
        return await answer_by_order.pop(0)(request, body)

    async def scenario(site):
        return (await site.call())[0]

    assert run([answer, answer], scenario, routes=(sites.at_most_once_route(),)) == 200


def test_refusal_by_all_servers_states_that_the_request_has_not_run():
    full = sites.answering(503, **{headers.NOT_RUN: "1"})

    async def scenario(site):
        status, given, _ = await site.call()
        return status, float(given["Retry-After"]) > 0

    assert run([full, full], scenario) == (503, True)


def test_unreachable_server_does_not_use_up_an_attempt():
    async def scenario(site):
        site.backends[0].listener.close()
        await site.backends[0].listener.wait_closed()
        return [(await site.call())[0] for _ in range(4)]

    routes = (sites.at_most_once_route(max_attempts_count=1),)
    answers = [sites.answering(), sites.answering()]
    assert run(answers, scenario, routes=routes) == [200] * 4


def test_last_server_error_is_forwarded_when_all_attempts_fail():
    async def scenario(site):
        return (await site.call())[0], sum(len(b.seen) for b in site.backends)

    assert run([sites.answering(500)] * 3, scenario) == (500, 2)


def test_empty_retry_budget_allows_no_retry():
    async def scenario(site):
        return (await site.call())[0], sum(len(b.seen) for b in site.backends)

    budget = retry_budget.Settings(0.0, 10.0, 0)
    assert run([sites.answering(500)] * 2, scenario, budget=budget) == (500, 1)


def test_response_to_another_request_is_never_forwarded():
    async def other(request, body):
        return web.Response(text="other's", headers={headers.REQUEST_ID: "r-9"})

    async def scenario(site):
        status, _, body = await site.call()
        return status, b"other's" in body

    assert run([other, other], scenario) == (502, False)


def test_truncated_response_is_retried():
    async def truncated(request, body):
        response = web.StreamResponse(headers={headers.REQUEST_ID: "r-1"})
        response.content_length = 100
        await response.prepare(request)
        await response.write(b"half")
        request.transport.close()
        return response

    answers = [truncated, sites.answering()]

    async def answer(request, body):
        return await answers.pop(0)(request, body)

    async def scenario(site):
        status, _, body = await site.call()
        return status, body

    assert run([answer, answer], scenario) == (200, b"whole")


def test_final_response_comes_at_the_clients_deadline():
    async def slow(request, body):
        await asyncio.sleep(30.0)

    async def scenario(site):
        return (await site.call(given={headers.TIME_LEFT: "0.2"}))[0]

    assert run([slow], scenario) == 504


def test_draining_server_gets_no_new_request():
    async def scenario(site):
        sites.list_servers(site.forwarder, site.backends, listing.ServerState.DRAINING)
        return (await site.call())[0], len(site.backends[0].seen)

    assert run([sites.answering()], scenario) == (503, 0)


def test_attempt_ends_when_the_client_disconnects():
    transports = []

    async def slow(request, body):
        transports.append(request.transport)
        await asyncio.sleep(30.0)

    async def scenario(site):
        call = asyncio.create_task(site.call())
        await sites.wait_until(lambda: transports)
        call.cancel()
        await sites.wait_until(transports[0].is_closing)
        return len(next(iter(site.forwarder.pool.servers.values())).in_flight)

    assert run([slow], scenario) == 0


def test_body_over_the_limit_is_refused_and_the_connection_closed():
    async def scenario(site):
        limit = site.forwarder.route_index.table.limits.max_body_size_bytes
        status, given, _ = await site.call(data=b"x" * (limit + 1))
        return status, given.get("Connection"), len(site.backends[0].seen)

    assert run([sites.answering()], scenario) == (413, "close", 0)


def raw_call(data):
    """Send bytes; return the status line and the number of forwarded requests."""

    async def scenario(site):
        reader, writer = await asyncio.open_connection(sites.HOST, site.port)
        writer.write(data)
        async with asyncio.timeout(5.0):
            answer = await reader.read()
        writer.close()
        return answer.split(b"\r\n")[0], len(site.backends[0].seen)

    return run([sites.answering()], scenario)


def test_content_length_with_chunked_encoding_is_refused():
    head = b"POST /chat/x HTTP/1.1\r\nHost: site.example\r\n"
    both = b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    status, seen_count = raw_call(head + both)
    assert (b"400" in status, seen_count) == (True, 0)


def test_two_content_lengths_are_refused():
    head = b"POST /chat/x HTTP/1.1\r\nHost: site.example\r\n"
    status, seen_count = raw_call(
        head + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"
    )
    assert (b"400" in status, seen_count) == (True, 0)


def test_request_that_is_lost_on_three_servers_is_refused():
    async def scenario(site):
        statuses = [(await site.call(data=b"poison"))[0] for _ in range(4)]
        other = (await site.call(data=b"other"))[0]
        return statuses, other, sum(len(b.seen) for b in site.backends)

    async def crash_on_poison(request, body):
        if body == b"poison":
            return sites.end_server(request)
        return await sites.answering()(request, body)

    statuses, other, seen_count = run([crash_on_poison] * 6, scenario)
    assert statuses == [502, 502, 503, 503]
    assert (other, seen_count) == (200, 4)


def test_lost_requests_are_reported_to_the_other_routers():
    recorded = []

    async def scenario(site):
        site.forwarder.report_lost = lambda server_id, *lost: recorded.append(server_id)
        await site.call()
        await sites.wait_until(lambda: len(recorded) == 2)

    async def crash(request, body):
        return sites.end_server(request)

    run([crash, crash], scenario)
    assert sorted(recorded) == ["s0", "s1"]


def test_equal_requests_are_not_refused_for_resets_by_servers_that_go_on():
    """Guards against a reset connection that is taken for the end of a server."""
    recorded = []

    async def reset_on_poison(request, body):
        if body == b"poison":
            return await drop(request, body)
        return await sites.answering()(request, body)

    async def scenario(site):
        site.forwarder.report_lost = lambda *lost: recorded.append(lost)
        statuses = [(await site.call(data=b"poison"))[0] for _ in range(6)]
        counts = site.forwarder.crashes
        await sites.wait_until(lambda: not counts.unverified)
        return set(statuses), dict(counts.servers)

    assert run([reset_on_poison] * 6, scenario) == ({502}, {})
    assert not recorded


def test_request_that_is_lost_on_servers_that_restart_at_once_is_refused(monkeypatch):
    """Guards against crashes without end of servers that pass each check."""
    monkeypatch.setattr(crash_counts, "MAX_SURVIVED_COUNT", 4)

    async def reset_on_poison(request, body):
        if body == b"poison":
            return await drop(request, body)
        return await sites.answering()(request, body)

    async def scenario(site):
        return [(await site.call(data=b"poison"))[0] for _ in range(8)][-1]

    assert run([reset_on_poison] * 6, scenario) == 503


def test_complete_response_clears_the_recorded_losses():
    answer = dropping_first(1, sites.answering())

    async def scenario(site):
        await site.call()
        return len(site.forwarder.crashes.servers)

    assert run([answer, answer], scenario) == 0


def test_request_moves_from_a_silent_server_to_another_in_time():
    first = []

    async def silent_once(request, body):
        if not first:
            first.append(request)
            await asyncio.sleep(30.0)
        return await sites.answering()(request, body)

    async def scenario(site):
        return (await site.call(given={headers.TIME_LEFT: "0.6"}))[0]

    assert run([silent_once, silent_once], scenario) == 200


def test_at_most_once_request_stays_at_a_silent_server():
    async def silent(request, body):
        await asyncio.sleep(30.0)

    async def scenario(site):
        status = (await site.call(given={headers.TIME_LEFT: "0.3"}))[0]
        return status, sum(len(b.seen) for b in site.backends)

    routes = (sites.at_most_once_route(),)
    assert run([silent, silent], scenario, routes=routes) == (504, 1)


def test_server_that_fails_most_requests_gets_fewer():
    async def scenario(site):
        for number in range(60):
            given = {headers.REQUEST_ID: f"r-{number}"}
            await site.call(given=given, data=b"%d" % number)
        seen = [len(backend.seen) for backend in site.backends]
        return seen[0] < min(seen[1:]) / 2

    answers = [sites.answering(500), sites.answering(), sites.answering()]
    assert run(answers, scenario)


def test_headers_over_the_limit_are_refused():
    head = b"POST /chat/x HTTP/1.1\r\nHost: site.example\r\nX-Long: "
    status, seen_count = raw_call(head + b"x" * 70_000 + b"\r\n\r\n")
    assert (b"431" in status, seen_count) == (True, 0)


def test_incomplete_headers_close_the_connection_after_the_timeout():
    async def scenario(site):
        table = site.forwarder.route_index.table
        limits = dataclasses.replace(table.limits, header_timeout_s=0.1)
        site.forwarder.route_index = matching.make_index(
            dataclasses.replace(table, limits=limits)
        )
        reader, writer = await asyncio.open_connection(sites.HOST, site.port)
        writer.write(b"POST /chat/x HTTP/1.1\r\nHost: si")
        async with asyncio.timeout(5.0):
            ended = await reader.read()
        writer.close()
        return ended

    assert run([sites.answering()], scenario) == b""


def test_prompt_is_refused_with_retry_after_while_the_backlog_is_too_large():
    route = tables.make_route(
        allows_anonymous=True,
        is_stream=True,
        has_prompt=True,
        execution=model.Execution.RESUMABLE_STREAM,
    )

    async def scenario(site):
        (view,) = site.forwarder.pool.servers.values()
        view.in_flight[0] = server_pool.InFlightRequest(10**6, 0.0)
        given = {headers.PROMPT: "m;1000;10;a:500,b:500"}
        status, answered, body = await site.call(given=given)
        retry_after_s = float(answered["Retry-After"])
        return status, retry_after_s > 0, body, len(site.backends[0].seen)

    found = run([sites.answering()], scenario, routes=(route,))
    assert found == (503, True, b"overloaded\n", 0)


@pytest.mark.parametrize("has_prompt", [False, True])
def test_prompt_without_parts_gets_the_response_of_its_server(has_prompt):
    """Guards against a 500 for a request that a server has run."""
    route = tables.make_route(allows_anonymous=True, has_prompt=has_prompt)

    async def scenario(site):
        status, _, body = await site.call(given={headers.PROMPT: "m;30;5;"})
        return status, body, len(site.backends[0].seen)

    assert run([sites.answering()], scenario, routes=(route,)) == (200, b"whole", 1)


def kept_after_parallel_calls(calls_count, connections_count, routers_count):
    """Return how many connections stay open after concurrent calls."""
    arrived = []

    async def answer_together(request, body):
        arrived.append(request)
        await waiting.wait_until(lambda: len(arrived) >= calls_count, 10.0)
        return await sites.answering()(request, body)

    async def scenario(site):
        site.forwarder.routers_count = routers_count
        table = site.forwarder.route_index.table
        service = dataclasses.replace(
            table.services[0], max_connections_count=connections_count
        )
        site.forwarder.route_index = matching.make_index(
            dataclasses.replace(table, services=(service,))
        )
        await asyncio.gather(*(site.call() for _ in range(calls_count)))
        session = site.forwarder.retryable_session
        return sum(len(kept) for kept in session.connector._conns.values())

    return run([answer_together], scenario)


def test_idle_connections_stay_within_the_routers_share_of_a_servers_limit():
    # 12 connections / 3 routers; both sessions of a router share its connections.
    assert kept_after_parallel_calls(6, connections_count=12, routers_count=3) == 4


def test_one_idle_connection_is_kept_however_many_routers_there_are():
    assert kept_after_parallel_calls(3, connections_count=4, routers_count=100) == 1


def test_all_idle_connections_are_kept_where_the_service_has_no_limit():
    assert kept_after_parallel_calls(6, connections_count=0, routers_count=3) == 6


def test_no_connection_to_a_server_that_has_left_the_list_is_kept():
    async def scenario(site):
        site.backends[0].seen.clear()
        await site.call()
        sites.list_servers(site.forwarder, [])
        return contexts.max_idle_connections_count(
            site.forwarder, site.backends[0].address
        )

    assert run([sites.answering()], scenario) == 0


def test_overload_refusal_logs_the_backlog_that_caused_it(monkeypatch):
    recorded = []
    monkeypatch.setattr(logs, "info", lambda *given: recorded.append(given))
    route = tables.make_route(
        allows_anonymous=True, has_prompt=True, execution=model.Execution.IDEMPOTENT
    )

    async def scenario(site):
        (view,) = site.forwarder.pool.servers.values()
        view.in_flight[0] = server_pool.InFlightRequest(10**6, 0.0)
        status, _, _ = await site.call(given={headers.PROMPT: "m;900;9;a:500,b:400"})
        return status

    assert run([sites.answering()], scenario, routes=(route,)) == 503
    (fields,) = [
        fields
        for message, fields in recorded
        if message == "request answered by the router"
    ]
    assert fields.reason == "overloaded"
    assert "1000000 tokens to read before it at s0" in fields.detail


def test_attempt_that_exceeds_the_deadline_is_logged_with_its_server(monkeypatch):
    recorded = []
    monkeypatch.setattr(logs, "info", lambda *given: recorded.append(given))
    route = tables.make_route(allows_anonymous=True, timeout_s=0.2)

    async def hang(request, body):
        await asyncio.sleep(30.0)
        return web.Response()

    async def scenario(site):
        status, _, _ = await site.call()
        return status

    assert run([hang], scenario, routes=(route,)) == 504
    (fields,) = [fields for message, fields in recorded if message == "request sent"]
    assert fields.reason == "Ended: no answer in the client's time"
    assert fields.backend_server == "s0"


def test_request_waits_for_the_first_table_and_list():
    async def scenario(site):
        site.forwarder.started.clear()
        call = asyncio.create_task(site.call())
        await asyncio.sleep(0.1)
        seen_before = len(site.backends[0].seen)
        site.forwarder.started.set()
        return seen_before, (await call)[0]

    assert run([sites.answering()], scenario) == (0, 200)


def test_wait_for_the_first_table_is_bounded():
    async def scenario(site):
        site.forwarder.started.clear()
        site.forwarder.route_index = None
        started_s = time.monotonic()
        status, headers_, _ = await site.call(given={headers.TIME_LEFT: "0.4"})
        return status, "Retry-After" in headers_, time.monotonic() - started_s

    status, has_retry_after, waited_s = run([sites.answering()], scenario)
    assert (status, has_retry_after) == (503, True)
    assert waited_s < 0.3


def test_request_whose_plain_response_is_cut_on_three_servers_is_refused():
    async def cut(request, body):
        given = {headers.REQUEST_ID: request.headers[headers.REQUEST_ID]}
        response = web.StreamResponse(headers=given)
        await response.prepare(request)
        await response.write(b"begun")
        sites.end_server(request)
        return response

    async def scenario(site):
        statuses = [(await site.call(data=b"poison"))[0] for _ in range(3)]
        return statuses, sum(len(b.seen) for b in site.backends)

    assert run([cut] * 6, scenario) == ([502, 502, 503], 3)


@pytest.mark.parametrize(("losses_count", "is_told"), [(1, False), (2, True)])
def test_completion_is_told_to_the_other_routers_after_repeated_losses(
    losses_count, is_told
):
    told = []
    answer = dropping_first(losses_count, sites.answering())

    async def scenario(site):
        site.forwarder.report_completed = told.append
        for _ in range(2):
            await site.call()

    run([answer] * 3, scenario)
    assert bool(told) == is_told


async def send_raw(port, target="/chat/x", fields=""):
    """Send a request as it is; return the status line of the response."""
    reader, writer = await asyncio.open_connection(sites.HOST, port)
    head = f"GET {target} HTTP/1.1\r\nHost: site.example\r\n{headers.REQUEST_ID}: r-1"
    writer.write(f"{head}\r\n{fields}\r\n".encode())
    status = await asyncio.wait_for(reader.readline(), sites.WAIT_S)
    writer.close()
    return status


@pytest.mark.parametrize(
    ("limit_bytes", "size_bytes", "status"),
    [(65_536, 40_000, b"200"), (65_536, 70_000, b"431"), (1_000, 2_000, b"431")],
)
def test_limit_on_headers_is_that_of_the_table(limit_bytes, size_bytes, status):
    """Guards against a constant in place of the operator's limit."""
    response = b"HTTP/1.1 200 OK\r\n" + f"{headers.REQUEST_ID}: r-1\r\n".encode()

    async def main():
        async with (
            sites.run_site([]) as site,
            sites.run_raw_backends(1, response + b"Content-Length: 0\r\n\r\n") as found,
        ):
            sites.list_servers(site.forwarder, found)
            table = site.forwarder.route_index.table
            limits = dataclasses.replace(
                table.limits, max_header_size_bytes=limit_bytes
            )
            site.forwarder.route_index = matching.make_index(
                dataclasses.replace(table, limits=limits)
            )
            # No field exceeds the limit by itself.
            fields = f"X: {size_bytes // 2 * 'x'}\r\n" * 2
            return await send_raw(site.port, fields=fields), len(found[0].seen)

    line, seen_count = asyncio.run(main())
    assert (status in line, seen_count) == (True, status == b"200")


@pytest.mark.parametrize("target", ["/chat/x?", "/chat/x?a=%20+b", "/chat/x%2Fy??"])
def test_target_reaches_the_server_unchanged(target):
    async def scenario(site):
        await send_raw(site.port, target)
        return [request.raw_path for request, _ in site.backends[0].seen]

    assert run([sites.answering()], scenario) == [target]


def test_target_with_a_fragment_is_refused():
    """Guards against a run of another path than the client sent."""

    async def scenario(site):
        line = await send_raw(site.port, "/chat/x#y")
        return b"400" in line, site.backends[0].seen

    assert run([sites.answering()], scenario) == (True, [])
