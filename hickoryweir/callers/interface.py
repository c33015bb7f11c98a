"""Interface between the callers' HTTP server and the daemon."""

import dataclasses
from collections.abc import Awaitable, Callable

from returns import result

from hickoryweir.callers import authentication, requests, sinks
from hickoryweir.configuration import model, settings
from hickoryweir.observability import metrics
from hickoryweir.outcomes import refusals


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    Attributes
    ----------
    streamed : bool
        Whether the body was already written to the sink.
    headers : tuple of tuple of str
        Names and values, without the content type.
    """

    status: int
    content_type: str
    body: bytes
    streamed: bool = False
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """The configuration in force and the key directory derived from it."""

    version: int
    configuration: model.Configuration
    directory: authentication.Directory


CallHandler = Callable[
    [requests.CallerRequest, sinks.Sink],
    Awaitable[result.Result[Response, refusals.Refusal]],
]


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonInterface:
    """Functions and values that the daemon provides to the callers' HTTP server.

    Attributes
    ----------
    limits : settings.Callers
        Address, TLS files, and limits on requests and connections.
    in_force : function
        Returns the configuration in force, or None before there is one.
    not_ready : function
        Returns why the load balancer must send no calls here, or None.
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
