"""Checks of a caller's request; each step returns a value or a refusal.

The key is checked before the body is read.  The body's size and schema, the model
or plain service, the class and the idempotency key follow.
"""

import asyncio
import dataclasses
import re
import secrets
import time
import uuid
from collections.abc import Callable

from aiohttp import web
from returns import result

from hickoryweir.callers import authentication, classes, interface, requests
from hickoryweir.configuration import model
from hickoryweir.outcomes import refusals

DAEMON = web.AppKey("daemon", interface.DaemonInterface)
REQUEST_ID = web.RequestKey("request_id", str)
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
CALL_ID_SIZE_BYTES = 8
PromptParser = Callable[[bytes], result.Result[requests.Prompt, refusals.Refusal]]
CheckResult = result.Result[requests.CallerRequest, refusals.Refusal]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerContext:
    """The configuration in force and the caller's account."""

    configuration: model.Configuration
    account: model.Account


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContent:
    """Path and body of a request; `received_at_s` is on the monotonic clock."""

    path: str
    body: bytes
    prompt: requests.Prompt | None
    received_at_s: float


def request_id_of(request: web.Request) -> str:
    """Return the caller's request id if it is well-formed, else a new one."""
    if REQUEST_ID not in request:
        requested_id = request.headers.get("X-Request-Id", "")
        is_well_formed = REQUEST_ID_PATTERN.fullmatch(requested_id)
        request[REQUEST_ID] = requested_id if is_well_formed else uuid.uuid4().hex
    return request[REQUEST_ID]


def refuse_body_size(daemon: interface.DaemonInterface) -> refusals.Refusal:
    """Return the refusal of a body that exceeds the size limit."""
    limit = daemon.limits.max_body_size_bytes
    message = f"the body is larger than {limit} bytes"
    return refusals.make_refusal(refusals.Reason.BODY_TOO_LARGE, message)


async def read_body(request: web.Request) -> result.Result[bytes, refusals.Refusal]:
    """Return the body, or a refusal if it is too large or arrives too slowly."""
    daemon = request.app[DAEMON]
    declared_size_bytes = request.content_length or 0
    if declared_size_bytes > daemon.limits.max_body_size_bytes:
        return result.Failure(refuse_body_size(daemon))
    try:
        async with asyncio.timeout(daemon.limits.body_timeout_s):
            return result.Success(await request.read())
    except TimeoutError:
        message = f"the body was not received within {daemon.limits.body_timeout_s} s"
        reason = refusals.Reason.CLIENT_TOO_SLOW
        return result.Failure(refusals.make_refusal(reason, message))


def check_caller(
    request: web.Request,
) -> result.Result[CallerContext, refusals.Refusal]:
    """Return the configuration and the authenticated account."""
    in_force = request.app[DAEMON].in_force()
    if in_force is None:
        message = "no configuration is in force here yet"
        reason = refusals.Reason.NOT_READY
        return result.Failure(refusals.make_refusal(reason, message, 1.0))
    header = request.headers.get("Authorization")
    account = authentication.authenticate(in_force.directory, header)
    return account.map(lambda found: CallerContext(in_force.configuration, found))


async def check_model(request: web.Request, parse: PromptParser) -> CheckResult:
    """Return the checked request for a model engine, or a refusal."""
    received_at_s = time.monotonic()
    caller = check_caller(request)
    if not isinstance(caller, result.Success):
        return caller
    body_read = await read_body(request)
    if not isinstance(body_read, result.Success):
        return body_read
    body = body_read.unwrap()
    parsed = parse(body)
    if not isinstance(parsed, result.Success):
        return parsed
    prompt = parsed.unwrap()
    found = find_model(caller.unwrap().configuration, prompt)
    if not isinstance(found, result.Success):
        return found
    target = classes.Destination(model.Target.MODEL, prompt.model_name)
    content = RequestContent(request.path, body, prompt, received_at_s)
    return make_request(request, caller.unwrap(), target, content)


async def check_service(request: web.Request) -> CheckResult:
    """Return the checked request for a plain service, or a refusal."""
    received_at_s = time.monotonic()
    service_name = request.match_info["service"]
    caller = check_caller(request)
    if not isinstance(caller, result.Success):
        return caller
    services = caller.unwrap().configuration.services
    if all(service.name != service_name for service in services):
        reason = refusals.Reason.SERVICE_UNKNOWN
        return result.Failure(refusals.make_refusal(reason, "no such service"))
    body_read = await read_body(request)
    if not isinstance(body_read, result.Success):
        return body_read
    target = classes.Destination(model.Target.SERVICE, service_name)
    path = service_path(request.rel_url.raw_path)
    content = RequestContent(path, body_read.unwrap(), None, received_at_s)
    return make_request(request, caller.unwrap(), target, content)


def find_model(
    configuration: model.Configuration, prompt: requests.Prompt
) -> result.Result[model.Model, refusals.Refusal]:
    """Return the model that a prompt names."""
    for candidate in configuration.models:
        if candidate.name == prompt.model_name:
            return result.Success(candidate)
    return result.Failure(
        refusals.make_refusal(refusals.Reason.MODEL_UNKNOWN, "no such model")
    )


def service_path(raw_path: str) -> str:
    """Return the percent-encoded path after ``/services/{service}``.

    Examples
    --------
    >>> service_path("/services/top-ups/a%20b/c")
    '/a%20b/c'
    """
    return "/" + raw_path.split("/", 3)[3]


def make_request(
    request: web.Request,
    caller: CallerContext,
    destination: classes.Destination,
    content: RequestContent,
) -> CheckResult:
    """Return the request with its class, or a refusal."""
    account = caller.account
    header = request.headers.get("X-Request-Class")
    found = classes.find_class(caller.configuration, account, header, destination)
    if not isinstance(found, result.Success):
        return found
    request_class = found.unwrap()
    key = request.headers.get("Idempotency-Key", "")
    if not request_class.idempotent and not key:
        message = f"class {request_class.name} requires an Idempotency-Key header"
        reason = refusals.Reason.IDEMPOTENCY_KEY_MISSING
        return result.Failure(refusals.make_refusal(reason, message))
    fingerprint = requests.fingerprint(account.name, content.path, content.body)
    return result.Success(
        requests.CallerRequest(
            call_id=f"{request_id_of(request)}.{secrets.token_hex(CALL_ID_SIZE_BYTES)}",
            request_id=request_id_of(request),
            request_class=request_class,
            account=account,
            method=request.method,
            path=content.path,
            query=request.rel_url.raw_query_string,
            headers=tuple(request.headers.items()),
            body=content.body,
            prompt=content.prompt,
            fingerprint=fingerprint,
            idempotency_key=key,
            received_at_s=content.received_at_s,
        )
    )
