"""A burst of mixed calls over HTTP, and their outcomes.

Non-idempotent calls carry an ``Idempotency-Key``; those at every third position
are sent a second time, to a random entry VM.  Idempotent calls to models are
streamed chat completions.
"""

import asyncio
import dataclasses
import json
import random
import time
import uuid

import aiohttp

from hickoryweir.configuration import model
from hickoryweir.testing import texts

MAX_SENDS_COUNT = 20
REPEAT_INTERVAL = 3
REPEAT_DELAY_S = 0.05
MAX_CONNECTIONS = 200
REPEAT_SUFFIX = "-again"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One call to be sent.

    Attributes
    ----------
    at_s : float
        Time of the send, from the start of the burst.
    key : str
        Idempotency key; empty for idempotent classes.
    url : str
        Base URL of the entry VM.
    """

    at_s: float
    request_id: str
    request_class: model.RequestClass
    account: str
    key: str
    url: str


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Final outcome of a call.

    Attributes
    ----------
    answered, is_correct : bool
        Whether there was an answer, and whether it was complete and belongs to this
        call.
    first_token_s, answer_s : float
        Times since the first send, including waits and retries.
    refusals : tuple of str
        Reasons of the refusals, in order.
    ran : str
        Whether the call was executed, by the last refusal; empty if answered.
    """

    plan: Plan
    answered: bool
    is_correct: bool
    first_token_s: float
    answer_s: float
    refusals: tuple[str, ...]
    ran: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The result of one HTTP exchange, an answer or a refusal."""

    answered: bool
    is_correct: bool
    first_byte_s: float
    reason: str
    ran: str
    retry_after_s: float | None


def make_plans(
    configuration: model.Configuration,
    urls: tuple[str, ...],
    count: int,
    duration_s: float,
    seed: int,
) -> tuple[Plan, ...]:
    """Return the calls of a burst, ordered by time of sending.

    Parameters
    ----------
    configuration : model.Configuration
        Accounts and the classes that each may use.
    urls : tuple of str
        Base URLs of the entry VMs' ports for callers.
    count : int
        Number of calls, not counting repeats.
    duration_s : float
        Duration of the burst.
    seed : int
        Seed of the random generator.

    Returns
    -------
    tuple of Plan
        Includes repeats of non-idempotent calls.
    """
    generator = random.Random(seed)
    classes = {each.name: each for each in configuration.classes}
    plans = []
    for position in range(count):
        account = generator.choice(configuration.accounts)
        request_class = classes[generator.choice(account.classes)]
        key = "" if request_class.idempotent else f"key-{seed}-{position}"
        plan = Plan(
            at_s=generator.uniform(0, duration_s),
            request_id=f"call-{position}",
            request_class=request_class,
            account=account.name,
            key=key,
            url=generator.choice(urls),
        )
        plans.append(plan)
        if key and position % REPEAT_INTERVAL == 0:
            plans.append(repeat(plan, generator.choice(urls)))
    return tuple(sorted(plans, key=lambda plan: plan.at_s))


def repeat(plan: Plan, url: str) -> Plan:
    """Return a repeat of a call, sent `REPEAT_DELAY_S` later to `url`."""
    return dataclasses.replace(
        plan,
        at_s=plan.at_s + REPEAT_DELAY_S,
        request_id=plan.request_id + REPEAT_SUFFIX,
        url=url,
    )


async def send_all(plans: tuple[Plan, ...]) -> list[Outcome]:
    """Send each call at its time and return the outcomes."""
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
    start_s = time.monotonic()

    async def send_at(session: aiohttp.ClientSession, plan: Plan) -> Outcome:
        await asyncio.sleep(start_s + plan.at_s - time.monotonic())
        return await send(session, plan)

    async with aiohttp.ClientSession(connector=connector) as session:
        return await asyncio.gather(*(send_at(session, plan) for plan in plans))


async def send(session: aiohttp.ClientSession, plan: Plan) -> Outcome:
    """Send one call and retry it while the refusals allow that."""
    started_s = time.monotonic()
    refusals: list[str] = []
    ran = ""
    for _ in range(MAX_SENDS_COUNT):
        reply = await exchange(session, plan)
        now_s = time.monotonic()
        if reply.answered:
            first_token_s = reply.first_byte_s - started_s
            answer_s = now_s - started_s
            reasons = tuple(refusals)
            return Outcome(
                plan, True, reply.is_correct, first_token_s, answer_s, reasons, ""
            )
        refusals.append(reply.reason)
        ran = reply.ran
        if reply.retry_after_s is None:
            break
        await asyncio.sleep(reply.retry_after_s)
    answer_s = time.monotonic() - started_s
    return Outcome(plan, False, False, answer_s, answer_s, tuple(refusals), ran)


async def exchange(session: aiohttp.ClientSession, plan: Plan) -> Reply:
    """Carry out one HTTP exchange; a lost connection counts as a refusal."""
    try:
        return await exchange_raw(session, plan)
    except aiohttp.ClientError as error:
        reason = type(error).__name__
        return Reply(False, False, time.monotonic(), reason, "maybe", 0.5)


async def exchange_raw(session: aiohttp.ClientSession, plan: Plan) -> Reply:
    """Send one HTTP request and check its answer.

    Raises
    ------
    aiohttp.ClientError
        The connection was refused or lost.
    """
    headers = {
        "Authorization": f"Bearer demo-{plan.account}",
        "X-Request-Class": plan.request_class.name,
        "X-Request-Id": plan.request_id,
    }
    if plan.key:
        headers["Idempotency-Key"] = plan.key
    path, body = make_body(plan)
    url = plan.url + path
    async with session.post(url, json=body, headers=headers) as response:
        if response.status != 200:
            return parse_refusal(await response.read())
        return await read_answer(plan, response)


def make_body(plan: Plan) -> tuple[str, dict]:
    """Return the path and JSON body of a call."""
    request_class = plan.request_class
    if request_class.target is model.Target.SERVICE:
        return f"/services/{request_class.target_name}/run", {
            "amount": 500,
            "for": plan.key,
        }
    content = f"question {uuid.uuid4().hex}"
    tokens_count = min(request_class.expected_output_tokens, 40)
    return "/v1/chat/completions", {
        "model": request_class.target_name,
        "stream": request_class.idempotent,
        "max_tokens": tokens_count,
        "messages": [{"role": "user", "content": content}],
    }


def parse_refusal(body: bytes) -> Reply:
    """Return the reply for the JSON body of a refusal."""
    error = json.loads(body)["error"]
    now_s = time.monotonic()
    return Reply(
        False, False, now_s, error["code"], error["ran"], error["retry_after_s"]
    )


async def read_answer(plan: Plan, response: aiohttp.ClientResponse) -> Reply:
    """Read an answer and check that it is complete and belongs to this call."""
    first = await response.content.readany()
    first_byte_s = time.monotonic()
    body = first + await response.read()
    if plan.request_class.target is model.Target.SERVICE:
        is_own_answer = is_own_service_answer(plan, response, body)
        return Reply(True, is_own_answer, first_byte_s, "", "", None)
    if not plan.request_class.idempotent:
        text = json.loads(body)["choices"][0]["message"]["content"]
        return Reply(True, is_own(plan, text), first_byte_s, "", "", None)
    is_correct = body.endswith(b"data: [DONE]\n\n") and is_own(
        plan, read_stream_text(body)
    )
    reason = "" if is_correct else "stream_not_whole"
    return Reply(
        is_correct,
        is_correct,
        first_byte_s,
        reason,
        "maybe",
        None if is_correct else 0.5,
    )


def is_own_service_answer(
    plan: Plan, response: aiohttp.ClientResponse, body: bytes
) -> bool:
    """Return whether a plain service's answer belongs to this call or its repeat."""
    call_id = json.loads(body)["request_id"]
    first_id = plan.request_id.removesuffix(REPEAT_SUFFIX)
    echoed = response.headers.get("X-Request-Id") == plan.request_id
    return echoed and call_id.partition(".")[0].removesuffix(REPEAT_SUFFIX) == first_id


def read_stream_text(body: bytes) -> str:
    """Return the concatenated text of a chat completion's server-sent events."""
    parts = []
    for line in body.decode().splitlines():
        if not line.startswith("data: {"):
            continue
        for choice in json.loads(line[len("data: ") :]).get("choices", []):
            parts.append(choice["delta"].get("content") or "")
    return "".join(parts)


def is_own(plan: Plan, text: str) -> bool:
    """Return whether a stand-in's text is complete and names this call."""
    call_id = text[1:].partition("]")[0]
    is_own_answer = call_id.startswith(f"{plan.request_id}.")
    return is_own_answer and texts.is_complete_answer(call_id, text)
