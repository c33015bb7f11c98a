"""The callers' interface over real HTTP."""

import asyncio
import json

from returns import result

from hickoryweir.callers import interface, sinks
from hickoryweir.callers.tests import fakes
from hickoryweir.outcomes import refusals


def exchange(given, method, path, **arguments):
    """Return status, headers and body of one request."""

    async def run():
        async with (
            fakes.serving(given) as session,
            session.request(method, path, **arguments) as response,
        ):
            return response.status, response.headers, await response.read()

    return asyncio.run(run())


def error_code(body):
    return json.loads(body)["error"]["code"]


def post_chat(given, body=None, **headers):
    return exchange(
        given,
        "POST",
        "/v1/chat/completions",
        json=fakes.CHAT if body is None else body,
        headers=fakes.AUTHORIZATION | headers,
    )


def test_a_chat_gets_the_accounts_first_class():
    status, headers, body = post_chat(fakes.make_ports())
    assert (status, body) == (200, b"balance /v1/chat/completions")
    assert headers["X-Request-Id"]


def test_a_request_id_is_echoed():
    _, headers, _ = post_chat(fakes.make_ports(), **{"X-Request-Id": "mine-1"})
    assert headers["X-Request-Id"] == "mine-1"


def test_a_malformed_request_id_is_replaced():
    _, headers, _ = post_chat(fakes.make_ports(), **{"X-Request-Id": "a b"})
    assert headers["X-Request-Id"] != "a b"


def test_no_key_is_refused():
    status, _, body = exchange(
        fakes.make_ports(), "POST", "/v1/chat/completions", json=fakes.CHAT
    )
    assert (status, error_code(body)) == (401, "authentication_missing")


def test_a_wrong_key_is_refused():
    status, _, body = exchange(
        fakes.make_ports(),
        "POST",
        "/v1/chat/completions",
        json=fakes.CHAT,
        headers={"Authorization": "Bearer wrong"},
    )
    assert (status, error_code(body)) == (401, "authentication_invalid")


def test_a_class_of_another_account_is_refused():
    status, _, body = post_chat(fakes.make_ports(), **{"X-Request-Class": "summary"})
    assert (status, error_code(body)) == (403, "class_forbidden")


def test_an_unknown_class_is_refused():
    status, _, body = post_chat(fakes.make_ports(), **{"X-Request-Class": "none"})
    assert (status, error_code(body)) == (400, "class_unknown")


def test_an_unknown_model_is_refused():
    status, _, body = post_chat(fakes.make_ports(), fakes.CHAT | {"model": "other"})
    assert (status, error_code(body)) == (404, "model_unknown")


def test_a_body_without_messages_is_refused():
    status, _, body = post_chat(fakes.make_ports(), {"model": "assistant"})
    assert (status, error_code(body)) == (400, "body_invalid")


def test_a_body_that_is_not_json_is_refused():
    status, _, body = exchange(
        fakes.make_ports(),
        "POST",
        "/v1/chat/completions",
        data=b"{",
        headers=fakes.AUTHORIZATION,
    )
    assert (status, error_code(body)) == (400, "body_invalid")


def test_a_large_body_is_refused_by_its_declared_size():
    given = fakes.make_ports(max_body_size_bytes=100)
    status, _, body = post_chat(given, fakes.CHAT | {"user": "x" * 200})
    assert (status, error_code(body)) == (413, "body_too_large")


def test_a_large_chunked_body_is_refused():
    async def pieces():
        for _ in range(10):
            yield b"x" * 100

    status, _, body = exchange(
        fakes.make_ports(max_body_size_bytes=100),
        "POST",
        "/v1/chat/completions",
        data=pieces(),
        headers=fakes.AUTHORIZATION,
    )
    assert (status, error_code(body)) == (413, "body_too_large")


def test_a_slow_body_is_refused():
    async def pieces():
        yield b"{"
        await asyncio.sleep(5)

    status, _, body = exchange(
        fakes.make_ports(body_timeout_s=0.1),
        "POST",
        "/v1/chat/completions",
        data=pieces(),
        headers=fakes.AUTHORIZATION,
    )
    assert (status, error_code(body)) == (408, "client_too_slow")


def test_large_headers_are_refused():
    given = fakes.make_ports(max_header_size_bytes=500)
    status, _, body = post_chat(given, **{"X-Long": "x" * 1000})
    assert (status, error_code(body)) == (431, "headers_too_large")


def test_a_service_call_keeps_its_path():
    status, _, body = exchange(
        fakes.make_ports(),
        "POST",
        "/services/top-ups/top-ups/7",
        json={"amount": 1},
        headers=fakes.AUTHORIZATION | {"Idempotency-Key": "k-1"},
    )
    assert (status, body) == (200, b"top-up /top-ups/7")


def test_a_non_idempotent_call_needs_a_key():
    status, _, body = exchange(
        fakes.make_ports(),
        "POST",
        "/services/top-ups/top-ups",
        json={"amount": 1},
        headers=fakes.AUTHORIZATION,
    )
    assert (status, error_code(body)) == (400, "idempotency_key_missing")


def test_an_unknown_service_is_refused():
    status, _, body = exchange(
        fakes.make_ports(), "POST", "/services/none/x", headers=fakes.AUTHORIZATION
    )
    assert (status, error_code(body)) == (404, "service_unknown")


def test_an_unknown_path_is_refused():
    status, _, body = exchange(fakes.make_ports(), "GET", "/none")
    assert (status, error_code(body)) == (404, "path_unknown")


def test_a_wrong_method_is_refused():
    status, _, body = exchange(fakes.make_ports(), "GET", "/v1/completions")
    assert (status, error_code(body)) == (405, "method_not_allowed")


def test_models_are_listed():
    status, _, body = exchange(
        fakes.make_ports(), "GET", "/v1/models", headers=fakes.AUTHORIZATION
    )
    assert status == 200
    assert [item["id"] for item in json.loads(body)["data"]] == ["assistant"]


def test_a_router_without_configuration_refuses():
    status, headers, body = post_chat(fakes.make_ports(in_force=False))
    assert (status, error_code(body)) == (503, "not_ready")
    assert json.loads(body)["error"]["ran"] == "no"
    assert headers["Retry-After"] == "1"


def test_readiness_follows_the_daemon():
    refusal = refusals.make_refusal(refusals.Reason.DRAINING, "draining")
    status, _, _ = exchange(fakes.make_ports(), "GET", "/readyz")
    assert status == 200
    given = fakes.make_ports(not_ready=lambda: refusal)
    status, _, body = exchange(given, "GET", "/readyz")
    assert (status, error_code(body)) == (503, "draining")


def test_health_metrics_and_status_answer():
    for path in ("/healthz", "/metrics", "/status"):
        status, _, _ = exchange(fakes.make_ports(), "GET", path)
        assert status == 200


def test_a_broken_stream_ends_with_an_error_event():
    async def run(call, sink):
        await sinks.write(sink, b"data: {}\n\n")
        reason = refusals.Reason.STREAM_CUT
        return result.Failure(
            refusals.make_refusal(reason, "cut", ran=refusals.Ran.MAYBE)
        )

    status, _, body = post_chat(fakes.make_ports(run))
    assert status == 200
    assert body.startswith(b"data: {}\n\nevent: error\n")
    assert b"[DONE]" not in body


def test_an_unforeseen_fault_shows_no_trace():
    async def run(call, sink):
        raise RuntimeError("internal detail")

    status, _, body = post_chat(fakes.make_ports(run))
    assert (status, error_code(body)) == (500, "internal_error")
    assert b"internal detail" not in body


def test_a_connection_over_the_limit_is_turned_away():
    async def run():
        given = fakes.make_ports(max_connections=1)
        async with fakes.serving(given) as session:
            async with session.get("/healthz") as first:
                await first.read()
                host, port = str(session._base_url.host), session._base_url.port
                reader, writer = await asyncio.open_connection(host, port)
                answer = await reader.read()
                writer.close()
            return answer

    answer = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"too_many_connections" in answer


def test_a_silent_connection_is_closed():
    async def run():
        given = fakes.make_ports(body_timeout_s=0.1)
        async with fakes.serving(given) as session:
            host, port = str(session._base_url.host), session._base_url.port
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"POST /v1/chat")
            async with asyncio.timeout(30):
                try:
                    closed = await reader.read() == b""
                except ConnectionError:
                    closed = True
            writer.close()
            return closed

    assert asyncio.run(run())


def test_a_caller_that_leaves_cancels_its_call():
    async def run():
        left = asyncio.Event()

        async def wait(call, sink):
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                left.set()
                raise
            return result.Success(interface.Response(200, "text/plain", b""))

        async with fakes.serving(fakes.make_ports(wait)) as session:
            request = asyncio.create_task(
                session.post(
                    "/v1/chat/completions",
                    json=fakes.CHAT,
                    headers=fakes.AUTHORIZATION,
                )
            )
            await asyncio.sleep(0.2)
            request.cancel()
            async with asyncio.timeout(30):
                await left.wait()
        return True

    assert asyncio.run(run())


def test_a_kept_connection_ends_with_its_next_response_while_draining():
    refusal = refusals.make_refusal(refusals.Reason.DRAINING, "draining")
    _, headers, _ = post_chat(fakes.make_ports(not_ready=lambda: refusal))
    assert headers["Connection"] == "close"
    _, headers, _ = post_chat(fakes.make_ports())
    assert "Connection" not in headers
