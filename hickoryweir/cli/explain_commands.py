"""The command that asks a running router where a request would go, and why."""

import asyncio
import dataclasses
import json
import sys
from typing import Annotated

import aiohttp
import cappa
import pydantic
from returns import result

from hickoryweir.cli import exits, tables
from hickoryweir.engines import failures, sessions
from hickoryweir.forwarding import explanations

PATH = "/explain"
TIMEOUT_S = 5.0
MAX_PORT = 65_535
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_MALFORMED = 400
HTTP_NO_ANSWER = 422
EXPLANATION = pydantic.TypeAdapter(explanations.Explanation)
PROBLEM = pydantic.TypeAdapter(explanations.Problem)


@dataclasses.dataclass(frozen=True, slots=True)
class _Failure:
    """Why there is no explanation, in one line, and the exit code."""

    line: str
    code: exits.ExitCode


def _run(command: "Explain") -> int:
    host, separator, port = command.router_address.rpartition(":")
    is_port = port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT
    if not host or not separator or not is_port:
        print("the router's address must be HOST:PORT", file=sys.stderr)
        return exits.ExitCode.USAGE
    fields = {
        "host": command.host,
        "path": command.path,
        "account": command.account,
        "tokens": command.tokens,
        "parts": command.parts,
        "request_id": command.request_id,
        "tried": command.tried,
        "software_version": command.software_version,
    }
    given = {name: value for name, value in fields.items() if value}
    answer = asyncio.run(_ask(command.router_address, given))
    if isinstance(answer, result.Failure):
        failure = answer.failure()
        print(failure.line, file=sys.stderr)
        return failure.code
    explanation = answer.unwrap()
    if command.as_json:
        print(json.dumps(dataclasses.asdict(explanation), indent=2))
    else:
        print(render(explanation))
    return exits.ExitCode.SUCCESS


async def _ask(
    address: str, fields: dict[str, str]
) -> result.Result[explanations.Explanation, _Failure]:
    """Ask the router at an address, and return its explanation."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            sessions.make_session() as session,
            session.get(
                f"http://{address}{PATH}",
                params=fields,
                headers={"Accept-Encoding": "identity"},
                timeout=timeout,
            ) as response,
        ):
            status, body = response.status, await response.read()
    except (*failures.NETWORK_ERRORS, ValueError) as error:
        reason = str(error) or "no answer in time"
        line = f"the router at {address} can't be reached: {reason}"
        return result.Failure(_Failure(line, exits.ExitCode.UNREACHABLE))
    return _read_answer(address, status, body)


def _read_answer(
    address: str, status: int, body: bytes
) -> result.Result[explanations.Explanation, _Failure]:
    codes = exits.ExitCode
    try:
        if status == HTTP_OK:
            return result.Success(EXPLANATION.validate_json(body))
        if status in (HTTP_MALFORMED, HTTP_NO_ANSWER):
            error = PROBLEM.validate_json(body).error
            code = codes.USAGE if status == HTTP_MALFORMED else codes.REFUSED
            return result.Failure(_Failure(error, code))
    except pydantic.ValidationError:
        line = f"the answer of {address} is not an explanation"
        return result.Failure(_Failure(line, codes.UNREACHABLE))
    if status == HTTP_NOT_FOUND:
        line = f"{address} does not know the question: no router, or an older version"
        return result.Failure(_Failure(line, codes.NOT_SUPPORTED))
    line = f"{address} responded with status {status}"
    return result.Failure(_Failure(line, codes.UNREACHABLE))


def render(explanation: explanations.Explanation) -> str:
    """Return an explanation as text."""
    route = explanation.route
    service = f"service {explanation.service_name}"
    if len(route.services) > 1:
        weights = (f"{name} {weight:g}" for name, weight in route.services.items())
        service += f" by the next draw, of weights {', '.join(weights)}"
    lines = [
        f"route {route.name}: {route.host}{route.path_prefix}, priority "
        f"{route.priority}, target {route.target_latency_s:g} s, timeout "
        f"{route.timeout_s:g} s, table {explanation.table_version}",
        f"{service}, urgency {explanation.urgency}",
        _describe_admission(explanation.admission),
    ]
    if explanation.share is not None:
        lines.append(_describe_share(explanation.share))
    ages = explanation.ages
    lines.append(
        f"inputs: list {_format_age(ages.list_s)}, loads of other routers "
        f"{_format_age(ages.loads_s)}, their memory {_format_age(ages.memory_s)}"
    )
    lines.append(f"chosen server: {explanation.chosen_server_id or 'none'}")
    if explanation.servers:
        lines += ["", "considered:", tables.render(*_server_table(explanation))]
    if explanation.left_out:
        rows = [
            (item.server_id, item.availability_zone, item.reason.value, item.detail)
            for item in explanation.left_out
        ]
        headers = ("server", "zone", "reason", "detail")
        lines += ["", "left out:", tables.render(headers, rows)]
    return "\n".join(lines)


def _describe_admission(admission: explanations.Admission) -> str:
    text = f"admission: {admission.verdict.value}"
    if admission.reason:
        text += f", {admission.reason}"
    if admission.retry_after_s is not None:
        text += f", Retry-After {admission.retry_after_s:.2f} s"
    if admission.predicted_wait_s is not None:
        limit_s = admission.limit_s
        limit = "none" if limit_s is None else f"{limit_s:.3f} s"
        text += f", predicted wait {admission.predicted_wait_s:.3f} s, limit {limit}"
    return f"{text}, {admission.detail}" if admission.detail else text


def _describe_share(share: explanations.Share) -> str:
    side = "within" if share.factor == 1.0 else "beyond"
    due = "all" if share.share is None else f"{share.share:.0f}"
    return (
        f"share: account {share.account or 'none'} offers {share.demand:.0f} tokens/s, "
        f"share {due}, position {share.position:.2f} {side} it, {share.factor:.2f} of "
        f"the limit, {share.source} {share.age_s:.2f} s old"
    )


def _format_age(age_s: float | None) -> str:
    return "not received" if age_s is None else f"{age_s:.2f} s old"


def _server_table(
    explanation: explanations.Explanation,
) -> tuple[tuple[str, ...], list[tuple]]:
    headers = (
        "server",
        "zone",
        "cost",
        "slowness",
        "announced",
        "requests",
        "backlog",
        "cached",
        "",
    )
    return headers, [_server_row(item) for item in explanation.servers]


def _server_row(server: explanations.Server) -> tuple:
    requests = str(server.requests_count)
    if server.slots_count:
        requests += f" of {server.slots_count}"
    marks = []
    if server.is_chosen:
        marks.append("chosen")
    if server.is_full:
        marks.append("full")
    age_s = server.announced_age_s
    return (
        server.server_id,
        server.availability_zone,
        None if server.cost_s is None else f"{server.cost_s:.3f} s",
        f"{server.slowness:.2f}",
        None if age_s is None else f"{age_s:.2f} s ago",
        requests,
        server.backlog_tokens_count,
        server.cached_tokens_count,
        ", ".join(marks) or " ",
    )


@cappa.command(
    invoke=_run,
    help="Ask a router where a request would go now and why, without sending it.",
)
@dataclasses.dataclass
class Explain:
    """Arguments of ``explain``."""

    router_address: Annotated[
        str, cappa.Arg(help="HOST:PORT of the router's metrics port.")
    ]
    host: Annotated[str, cappa.Arg(long=True, help="Host of the request.")]
    path: Annotated[str, cappa.Arg(long=True, help="Path of the request.")]
    account: Annotated[str, cappa.Arg(long=True, help="Name of a client account.")] = ""
    tokens: Annotated[
        str,
        cappa.Arg(
            long=True, help="INPUT,OUTPUT: tokens of the prompt and of its response."
        ),
    ] = ""
    parts: Annotated[
        str, cappa.Arg(long=True, help="ID:TOKENS,...: parts of the prompt.")
    ] = ""
    request_id: Annotated[
        str,
        cappa.Arg(long=True, help="Id of the request, which decides between equals."),
    ] = ""
    tried: Annotated[
        str, cappa.Arg(long=True, help="Servers tried before, separated by commas.")
    ] = ""
    software_version: Annotated[
        str, cappa.Arg(long=True, help="Version that the stream is bound to.")
    ] = ""
    as_json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False
