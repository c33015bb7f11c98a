"""What the HTTP front asks of the daemon, as a record of functions."""

import dataclasses
from collections.abc import Awaitable, Callable

from returns import result

from hickoryweir.callers import authentication, requests, sinks
from hickoryweir.configuration import model, settings
from hickoryweir.observability import metrics
from hickoryweir.outcomes import refusals


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole answer.

    ``headers`` come beside the content type; ``streamed`` says that the body was
    already written to the sink.
    """

    status: int
    content_type: str
    body: bytes
    streamed: bool = False
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """The configuration in force with what is derived from it."""

    version: int
    configuration: model.Configuration
    directory: authentication.Directory


CallHandler = Callable[
    [requests.CallerRequest, sinks.Sink],
    Awaitable[result.Result[Response, refusals.Refusal]],
]


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonInterface:
    """Functions and values that the daemon gives to the HTTP front.

    Attributes
    ----------
    limits : settings.Callers
        Sizes and times that bound callers.
    in_force : function
        Returns the configuration in force, or None before there is one.
    not_ready : function
        Returns why the balancer should send nothing here, or None.
    run : function
        Serves one call.
    status : function
        Returns the status document as JSON text.
    metrics : metrics.Metrics
        Counters of the daemon.
    """

    limits: settings.Callers
    in_force: Callable[[], ConfigurationInForce | None]
    not_ready: Callable[[], refusals.Refusal | None]
    run: CallHandler
    status: Callable[[], bytes]
    metrics: metrics.Metrics
