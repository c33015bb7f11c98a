"""The Kitamori and Tamworth deployments, with the traffic of each class.

Examples
--------
>>> configuration = make_deployment("kitamori").configuration
>>> len(configuration.backend_servers), len(configuration.accounts)
(9, 10)
"""

import dataclasses

from hickoryweir.configuration import model

ZONES = ("a", "b", "c")
ENGINE_SLOTS_COUNT = 16
ENGINE_TOKENS_PER_S = 50.0
LARGE_ACCOUNTS_COUNT = 3
ACCOUNTS_COUNT = 10
LARGE_ACCOUNT_WEIGHT = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Arrival rate and sizes of the calls of one class.

    Attributes
    ----------
    rate_per_s : float
        Mean arrivals at all routers together.
    input_tokens, output_tokens : int
        Mean lengths of prompt and answer.
    output_log_sigma : float
        Standard deviation of the logarithm of the output length.
    prefix_tokens : int
        Length of the prompt prefix that the calls of one account share.
    """

    class_name: str
    rate_per_s: float
    input_tokens: int
    output_tokens: int
    output_log_sigma: float
    prefix_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A customer's configuration and its normal traffic."""

    configuration: model.Configuration
    traffic: tuple[Traffic, ...]


def make_deployment(name: str) -> Deployment:
    """Return a deployment by its name, ``kitamori`` or ``tamworth``."""
    return {"kitamori": _make_kitamori, "tamworth": _make_tamworth}[name]()


def _make_kitamori() -> Deployment:
    traffic = (
        Traffic("balance", 8.0, 300, 60, 0.4, 256),
        Traffic("review", 0.5, 1200, 300, 0.6, 512),
        Traffic("summary", 0.8, 1500, 500, 0.6, 512),
        Traffic("top-up", 6.0, 200, 40, 0.3, 128),
        Traffic("receipt", 1.5, 300, 120, 0.4, 128),
    )
    classes = (
        _make_class(traffic[0], "assistant", 1, 1.0, 6.0, 20.0, 0.1),
        _make_class(traffic[1], "assistant", 2, 8.0, 45.0, 90.0, 0.05),
        _make_class(traffic[2], "assistant", 3, 20.0, 90.0, 150.0, 0.1),
        _make_class(traffic[3], "top-up", 0, 1.0, 4.0, 15.0, 0.5, idempotent=False),
        _make_class(traffic[4], "top-up", 2, 5.0, 20.0, 40.0, 0.1),
    )
    servers = _make_engines("assistant", 6) + _make_engines("top-up", 3)
    return Deployment(_make_configuration("Kitamori", classes, servers), traffic)


def _make_tamworth() -> Deployment:
    traffic = (
        Traffic("question", 6.0, 300, 80, 0.4, 256),
        Traffic("history", 1.0, 1500, 700, 0.9, 512),
        Traffic("booking", 2.0, 200, 50, 0.3, 128),
        Traffic("defect", 2.0, 400, 80, 0.3, 128),
        Traffic("asset-report", 0.6, 800, 400, 0.6, 256),
    )
    classes = (
        _make_class(traffic[0], "assistant", 1, 1.0, 8.0, 20.0, 0.2),
        _make_class(traffic[1], "assistant", 2, 8.0, 60.0, 150.0, 0.2),
        _make_class(traffic[2], "jobs", 0, 1.0, 5.0, 15.0, 0.3, idempotent=False),
        _make_class(traffic[3], "jobs", 0, 1.0, 8.0, 20.0, 0.3),
        _make_class(traffic[4], "jobs", 2, 10.0, 45.0, 90.0, 0.1),
    )
    servers = _make_engines("assistant", 5) + _make_engines("jobs", 3)
    return Deployment(_make_configuration("Tamworth", classes, servers), traffic)


def _make_class(
    traffic: Traffic,
    target_name: str,
    tier: int,
    first_token_target_s: float,
    answer_target_s: float,
    deadline_s: float,
    floor_share: float,
    idempotent: bool = True,
) -> model.RequestClass:
    return model.RequestClass(
        name=traffic.class_name,
        tier=tier,
        target=model.Target.MODEL,
        target_name=target_name,
        idempotent=idempotent,
        first_token_target_s=first_token_target_s,
        between_tokens_target_s=0.08,
        answer_target_s=answer_target_s,
        deadline_s=deadline_s,
        attainment_target=0.99,
        floor_share=floor_share,
        max_queue_length=200,
        expected_input_tokens=traffic.input_tokens,
        expected_output_tokens=traffic.output_tokens,
        max_output_tokens=4096,
        retries=idempotent,
        hedging=idempotent,
    )


def _make_engines(model_name: str, count: int) -> tuple[model.BackendServer, ...]:
    return tuple(
        model.BackendServer(
            name=f"{model_name}-{index + 1}",
            target=model.Target.MODEL,
            url=f"http://127.0.0.1:{index + 1}",
            availability_zone=ZONES[index % len(ZONES)],
            provider="old",
            serves=(model_name,),
            max_concurrency=ENGINE_SLOTS_COUNT,
            tokens_per_s=ENGINE_TOKENS_PER_S,
            checks_fencing=True,
        )
        for index in range(count)
    )


def _make_configuration(
    customer: str,
    classes: tuple[model.RequestClass, ...],
    servers: tuple[model.BackendServer, ...],
) -> model.Configuration:
    names = tuple(item.name for item in classes)
    accounts = tuple(
        model.Account(
            name=f"account-{index + 1}",
            key_digests=(),
            classes=names,
            weight=LARGE_ACCOUNT_WEIGHT if index < LARGE_ACCOUNTS_COUNT else 1.0,
            max_concurrency=200,
            rate_per_s=100.0,
            burst_calls=200.0,
            tokens_per_s=20_000.0,
        )
        for index in range(ACCOUNTS_COUNT)
    )
    models = tuple(sorted({item.target_name for item in classes}))
    return model.Configuration(
        customer=customer,
        digest="",
        classes=tuple(sorted(classes, key=lambda item: item.name)),
        accounts=accounts,
        models=tuple(model.Model(name, "1", (), 10**10) for name in models),
        services=(),
        backend_servers=tuple(sorted(servers, key=lambda item: item.name)),
        provider_shares=(),
        idempotency_retention_s=86_400.0,
        order_rate_bytes_per_s=1e8,
    )
