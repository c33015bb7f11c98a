"""Simulated callers and operators of a drill, and their observations."""

import asyncio
import dataclasses
import random
import time

import aiohttp
from returns import result

from hickoryweir.configuration import change_ids, model
from hickoryweir.operators import client, documents
from hickoryweir.testing.demo import burst, entry_vms
from hickoryweir.testing.drill import cluster as clusters

CALLS_PER_S = 25.0
CALL_TIMEOUT_S = 25.0
RESEND_INTERVAL_S = 0.2
CHANGE_INTERVAL_S = 2.0
MAX_CONNECTIONS = 500
CALLER_TIMED_OUT = "gave_up"


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One HTTP exchange of a caller.

    Attributes
    ----------
    failure : str
        Class name of the connection error, or :data:`CALLER_TIMED_OUT` if
        the caller's timeout expired; empty if there was a reply.
    """

    url: str
    sent_at_s: float
    ended_at_s: float
    reply: burst.Reply | None
    failure: str


@dataclasses.dataclass(slots=True)
class History:
    """All exchanges of one call, including resends by the caller."""

    plan: burst.Plan
    exchanges: list[Exchange]

    @property
    def answered(self) -> bool:
        """Return whether any exchange ended with an answer."""
        return any(
            exchange.reply and exchange.reply.answered for exchange in self.exchanges
        )


@dataclasses.dataclass(slots=True)
class Observations:
    """Observations of callers and operators.

    Attributes
    ----------
    accepted : list of int
        Configuration versions whose acceptance was reported to an operator.
    """

    histories: list[History]
    accepted: list[int]


async def run_callers(
    cluster: clusters.Cluster,
    configuration: model.Configuration,
    observations: Observations,
    generator: random.Random,
    until_s: float,
) -> None:
    """Send calls as a Poisson process until `until_s`, and wait for them to end."""
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        asyncio.TaskGroup() as group,
    ):
        position = 0
        while clusters.now_s() < until_s:
            plan = choose_call(configuration, generator, position)
            history = History(plan, [])
            observations.histories.append(history)
            group.create_task(send_until_answered(session, cluster, history, generator))
            position += 1
            await asyncio.sleep(generator.expovariate(CALLS_PER_S))


def choose_call(
    configuration: model.Configuration, generator: random.Random, position: int
) -> burst.Plan:
    """Return a call with a random account and class."""
    account = generator.choice(configuration.accounts)
    classes = {each.name: each for each in configuration.classes}
    request_class = classes[generator.choice(account.classes)]
    key = "" if request_class.idempotent else f"drill-{position}"
    return burst.Plan(0.0, f"call-{position}", request_class, account.name, key, "")


async def send_until_answered(
    session: aiohttp.ClientSession,
    cluster: clusters.Cluster,
    history: History,
    generator: random.Random,
) -> None:
    """Resend a call until it is answered, finally refused, or timed out."""
    until_s = clusters.now_s() + CALL_TIMEOUT_S
    while clusters.now_s() < until_s:
        urls = sorted(cluster.ready)
        if not urls:
            await asyncio.sleep(RESEND_INTERVAL_S)
            continue
        plan = dataclasses.replace(history.plan, url=generator.choice(urls))
        exchange = await send_once(session, plan, until_s)
        history.exchanges.append(exchange)
        if exchange.reply is not None and exchange.reply.answered:
            return
        if exchange.reply is not None and exchange.reply.retry_after_s is None:
            return
        pause_s = exchange.reply.retry_after_s if exchange.reply else RESEND_INTERVAL_S
        await asyncio.sleep(pause_s)


async def send_once(
    session: aiohttp.ClientSession, plan: burst.Plan, until_s: float
) -> Exchange:
    """Carry out one HTTP exchange."""
    sent_at_s = clusters.now_s()
    try:
        async with asyncio.timeout(max(0.1, until_s - sent_at_s)):
            reply = await burst.exchange_raw(session, plan)
    except TimeoutError:
        return Exchange(plan.url, sent_at_s, clusters.now_s(), None, CALLER_TIMED_OUT)
    except aiohttp.ClientError as error:
        return Exchange(
            plan.url, sent_at_s, clusters.now_s(), None, type(error).__name__
        )
    return Exchange(plan.url, sent_at_s, clusters.now_s(), reply, "")


async def run_operators(
    cluster: clusters.Cluster,
    answers_text: str,
    observations: Observations,
    generator: random.Random,
    until_s: float,
) -> None:
    """Submit small changes, two concurrently, until `until_s`."""
    while clusters.now_s() < until_s:
        await asyncio.gather(
            *(
                submit_change(cluster, answers_text, observations, generator)
                for _ in range(2)
            )
        )
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def submit_change(
    cluster: clusters.Cluster,
    answers_text: str,
    observations: Observations,
    generator: random.Random,
) -> None:
    """Submit one change to a random entry VM; record the version if accepted."""
    hours = generator.randint(24, 72)
    text = answers_text.replace(
        "callers_resend_within_hours = 48", f"callers_resend_within_hours = {hours}"
    )
    vm = generator.choice(cluster.vms)
    access = client.Access((vm.operators_url,), entry_vms.OPERATOR_KEY)
    body = {
        "change_id": change_ids.make(time.time()),
        "answers": text,
        "summary": "drill",
        "wait_s": 0.0,
    }
    document = documents.AcceptedDocument
    response = await client.request(access, "POST", "/changes", document, body)
    if isinstance(response, result.Success):
        observations.accepted.append(response.unwrap().version)
