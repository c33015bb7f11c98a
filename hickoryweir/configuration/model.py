"""The configuration in force, as immutable values.

INI text is validated against :mod:`hickoryweir.configuration.schema` and parsed
into these values, which the daemon only reads.  Tuples are sorted by name, so that
equal configurations compare equal.
"""

import dataclasses
import enum


class Target(enum.StrEnum):
    """Kind of backend server that answers a class."""

    MODEL = "model"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """One kind of request: its priority, its latency targets and its limits.

    Attributes
    ----------
    name : str
        Name that callers put into ``X-Request-Class``.
    tier : int
        Priority; 0 is the highest.
    target : Target
        Whether a model engine or a plain service answers.
    target_name : str
        Model or service that answers.
    idempotent : bool
        False if a call may run at most once.
    first_token_target_s, between_tokens_target_s, answer_target_s : float
        Latency targets.
    deadline_s : float
        Time from the call until the caller must have a final answer.
    attainment_target : float
        Share of calls that should meet the targets, 0 to 1.
    floor_share : float
        Guaranteed share of capacity, 0 to 1.
    max_queue_length : int
        Calls that may wait at one router.
    expected_input_tokens, expected_output_tokens, max_output_tokens : int
        Sizes from the questionnaire; the first two are initial estimates.
    retries, hedging : bool
        Whether attempts may be repeated or duplicated (idempotent only).
    """

    name: str
    tier: int
    target: Target
    target_name: str
    idempotent: bool
    first_token_target_s: float
    between_tokens_target_s: float
    answer_target_s: float
    deadline_s: float
    attainment_target: float
    floor_share: float
    max_queue_length: int
    expected_input_tokens: int
    expected_output_tokens: int
    max_output_tokens: int
    retries: bool
    hedging: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account with its key digests and limits.

    Attributes
    ----------
    name : str
        Account name.
    key_digests : tuple of str
        SHA-256 of each valid key, lower-case hex.
    classes : tuple of str
        Classes the account may use; the first is its default.
    weight : float
        Share among accounts within a class.
    max_concurrency : int
        Calls in flight or queued at one router.
    rate_per_s, burst_calls : float
        Token bucket over calls, at one router.
    tokens_per_s : float
        Token bucket over output tokens, at one router.
    """

    name: str
    key_digests: tuple[str, ...]
    classes: tuple[str, ...]
    weight: float
    max_concurrency: int
    rate_per_s: float
    burst_calls: float
    tokens_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that engines serve: name, required version, adapters, size."""

    name: str
    version: str
    adapters: tuple[str, ...]
    weights_size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service.

    Attributes
    ----------
    name : str
        Service name, as in ``/services/{name}/``.
    lookup_path : str
        Path that returns whether the request of an idempotency key was executed;
        empty if the service has none.
    max_answer_size_bytes : int
        Largest answer that is stored for resent requests.
    """

    name: str
    lookup_path: str
    max_answer_size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A model engine or an instance of a plain service.

    Attributes
    ----------
    name : str
        Name of the backend server.
    target : Target
        Engine or plain service.
    url : str
        Base URL, with an IP address.
    availability_zone : str
        Zone in which it runs.
    provider : str
        Provider that runs it.
    serves : tuple of str
        Models (engine) or services (plain service) that it serves.
    max_concurrency : int
        Calls that it executes concurrently without queueing.
    tokens_per_s : float
        Decode speed of one sequence in an idle engine; 0 for services.
    checks_fencing : bool
        Whether it refuses orders with a stale fencing token.
    """

    name: str
    target: Target
    url: str
    availability_zone: str
    provider: str
    serves: tuple[str, ...]
    max_concurrency: int
    tokens_per_s: float
    checks_fencing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ProviderShare:
    """The share of a class's traffic that one provider gets, 0 to 1."""

    class_name: str
    provider: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration.

    Attributes
    ----------
    customer : str
        Name of the customer.
    digest : str
        Digest of the canonical text, lower-case hex.
    """

    customer: str
    digest: str
    classes: tuple[RequestClass, ...]
    accounts: tuple[Account, ...]
    models: tuple[Model, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]
    provider_shares: tuple[ProviderShare, ...]
    idempotency_retention_s: float
    order_rate_bytes_per_s: float
