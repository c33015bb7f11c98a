"""A configuration and a fake daemon for tests of the HTTP server."""

import contextlib

import aiohttp
from returns import result

from hickoryweir.callers import authentication, interface, server
from hickoryweir.configuration import key_digests, model, settings
from hickoryweir.observability import metrics

KEY = "secret-of-school"
AUTHORIZATION = {"Authorization": f"Bearer {KEY}"}
CHAT = {"model": "assistant", "messages": [{"role": "user", "content": "balance?"}]}


def make_class(name, target, target_name, idempotent):
    return model.RequestClass(
        name=name,
        tier=0,
        target=target,
        target_name=target_name,
        idempotent=idempotent,
        first_token_target_s=1.0,
        between_tokens_target_s=0.1,
        answer_target_s=5.0,
        deadline_s=5.0,
        attainment_target=0.95,
        floor_share=0.1,
        max_queue_length=10,
        expected_input_tokens=10,
        expected_output_tokens=10,
        max_output_tokens=100,
        retries=idempotent,
        hedging=False,
    )


def make_configuration():
    digest = key_digests.digest_key(KEY)
    return model.Configuration(
        customer="test",
        digest="",
        classes=(
            make_class("balance", model.Target.MODEL, "assistant", True),
            make_class("summary", model.Target.MODEL, "assistant", True),
            make_class("top-up", model.Target.SERVICE, "top-ups", False),
        ),
        accounts=(
            model.Account(
                "school", (digest,), ("balance", "top-up"), 1.0, 10, 10.0, 10.0, 1e6
            ),
        ),
        models=(model.Model("assistant", "1", (), 0),),
        services=(model.Service("top-ups", "", 1000),),
        backend_servers=(),
        provider_shares=(),
        idempotency_retention_s=3600.0,
        order_rate_bytes_per_s=1.0,
    )


def make_limits(**changes):
    values = {"host": "127.0.0.1", "port": 0, "plain_text": True, **changes}
    return settings.Callers(**values)


async def echo(call, sink):
    """Return the class and path of the call as the response."""
    text = f"{call.request_class.name} {call.path}"
    return result.Success(interface.Response(200, "text/plain", text.encode()))


def make_daemon(run=echo, not_ready=lambda: None, in_force=True, **limits):
    configuration = make_configuration()
    directory = authentication.make_directory(configuration.accounts)
    configuration_in_force = (
        interface.ConfigurationInForce(1, configuration, directory)
        if in_force
        else None
    )
    return interface.DaemonInterface(
        limits=make_limits(**limits),
        in_force=lambda: configuration_in_force,
        not_ready=not_ready,
        run=run,
        status=lambda: b"{}",
        metrics=metrics.make_metrics(),
    )


@contextlib.asynccontextmanager
async def serving(daemon):
    """Run the HTTP server and yield a client session for it."""
    running = await server.start(daemon)
    base = f"http://{daemon.limits.host}:{running.port}"
    async with aiohttp.ClientSession(base) as session:
        try:
            yield session
        finally:
            await session.close()
            await server.stop(running)
