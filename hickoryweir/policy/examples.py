"""Small configurations and events for doctests, tests and measurements."""

from hickoryweir.configuration import model
from hickoryweir.policy import events


def request_class(name: str, tier: int = 0, **changes) -> model.RequestClass:
    """Return a class of model calls; ``changes`` override its fields."""
    fields = {
        "target": model.Target.MODEL,
        "target_name": "assistant",
        "idempotent": True,
        "first_token_target_s": 1.0,
        "between_tokens_target_s": 0.1,
        "answer_target_s": 10.0,
        "deadline_s": 30.0,
        "attainment_target": 0.99,
        "floor_share": 0.1,
        "max_queue_length": 50,
        "expected_input_tokens": 200,
        "expected_output_tokens": 100,
        "max_output_tokens": 1000,
        "retries": True,
        "hedging": True,
    }
    return model.RequestClass(name=name, tier=tier, **(fields | changes))


def engine(name: str, zone: str = "a", **changes) -> model.BackendServer:
    """Return a model engine; ``changes`` override its fields."""
    fields = {
        "target": model.Target.MODEL,
        "url": "http://127.0.0.1:1",
        "provider": "old",
        "serves": ("assistant",),
        "max_concurrency": 8,
        "tokens_per_s": 50.0,
        "checks_fencing": True,
    }
    return model.BackendServer(name=name, availability_zone=zone, **(fields | changes))


def account(name: str, classes: tuple[str, ...], **changes) -> model.Account:
    """Return an account with high limits; ``changes`` override its fields."""
    fields = {
        "key_digests": (),
        "weight": 1.0,
        "max_concurrency": 10_000,
        "rate_per_s": 1e6,
        "burst_calls": 1e6,
        "tokens_per_s": 1e9,
    }
    return model.Account(name=name, classes=classes, **(fields | changes))


def configuration(
    classes: list[model.RequestClass],
    engines: list[model.BackendServer],
    accounts: list[model.Account] | None = None,
    provider_shares: tuple[model.ProviderShare, ...] = (),
) -> model.Configuration:
    """Return a configuration with one model and no services."""
    names = tuple(item.name for item in classes)
    return model.Configuration(
        customer="example",
        digest="",
        classes=tuple(classes),
        accounts=tuple(accounts or [account("school", names)]),
        models=(model.Model("assistant", "1", (), 10**9),),
        services=(),
        backend_servers=tuple(engines),
        provider_shares=provider_shares,
        idempotency_retention_s=86_400.0,
        order_rate_bytes_per_s=1e8,
    )


def small() -> model.Configuration:
    """Return a configuration of two classes and three engines in three zones."""
    classes = [request_class("balance"), request_class("summary", 1)]
    engines = [engine("e1", "a"), engine("e2", "b"), engine("e3", "c")]
    return configuration(classes, engines)


def arrival(request_id: str, class_name: str = "balance", **changes) -> events.Arrived:
    """Return an arrival; ``changes`` override its fields."""
    fields = {
        "account": "school",
        "input_tokens": 200,
        "max_output_tokens": None,
        "prefix_digests": (),
        "conversation": None,
        "fingerprint": request_id,
        "deadline_s": 30.0,
    }
    return events.Arrived(request_id, class_name, **(fields | changes))
