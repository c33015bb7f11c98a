"""Open arrivals over HTTP at real routers: ``python -m hickoryweir.load.http_driver``.

Each call is sent at its own time, whether or not earlier ones were answered, so
that waiting is not hidden.  Refused callers come back after ``Retry-After``.
"""

import argparse
import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Awaitable

import aiohttp
import aiomisc

from hickoryweir.load import arrivals, deployments, fleet, report, results, scenarios
from hickoryweir.outcomes import refusals

CHARACTERS_PER_TOKEN = 4
DONE = b"[DONE]"
EVENT_PREFIX = b"data:"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where calls go, and under which names.

    Attributes
    ----------
    urls : tuple of str
        Routers; each call takes one at random, like the platform's balancer.
    keys : tuple of str
        Keys of client accounts; the scenario's accounts share them in turn.
    class_names : dict of str to str
        Name in the configuration in force of each scenario class; calls of
        classes that are left out are not sent.
    model_names : dict of str to str
        Model of each scenario class; the scenario's own name if left out.
    """

    urls: tuple[str, ...]
    keys: tuple[str, ...]
    class_names: dict[str, str]
    model_names: dict[str, str]


async def drive(
    scenario: scenarios.Scenario, target: Target, seed: int
) -> tuple[results.ClassResult, ...]:
    """Send a scenario's calls to real routers and return the results by class.

    Faults of the scenario are not brought about.

    Parameters
    ----------
    scenario : scenarios.Scenario
        Demand and its bursts.
    target : Target
        Routers, keys and names.
    seed : int
        Seed of the arrivals.

    Returns
    -------
    tuple of results.ClassResult
        By tier and name, of the classes that were sent.
    """
    site = deployments.make_deployment(scenario.deployment)
    classes = [c for c in site.configuration.classes if c.name in target.class_names]
    deadlines = {item.name: item.deadline_s for item in classes}
    callers = [
        fleet.Caller(plan, plan.at_s + deadlines[plan.class_name])
        for plan in arrivals.make_plans(scenario, site, seed)
        if plan.class_name in deadlines and not plan.crash_s
    ]
    generator = random.Random(seed)
    started_s = time.monotonic()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(
            *(_call(session, target, c, generator, started_s) for c in callers)
        )
    classes.sort(key=lambda item: (item.tier, item.name))
    return tuple(
        results.class_result(
            item,
            [c for c in callers if c.plan.class_name == item.name],
            scenario.duration_s,
        )
        for item in classes
    )


async def _call(
    session: aiohttp.ClientSession,
    target: Target,
    caller: fleet.Caller,
    generator: random.Random,
    started_s: float,
) -> None:
    """Send one caller's call until it is answered, refused for good or too late."""
    again_s = caller.plan.at_s
    while again_s is not None:
        await asyncio.sleep(max(0.0, started_s + again_s - time.monotonic()))
        left_s = caller.deadline_s - (time.monotonic() - started_s)
        if left_s <= 0:
            return
        caller.tries += 1
        url = generator.choice(target.urls)
        attempt = _send(session, target, caller, url, started_s)
        wait_s = await _within(attempt, left_s)
        again_s = None
        if wait_s is not None:
            again_s = time.monotonic() - started_s + wait_s


async def _within(attempt: Awaitable[float | None], left_s: float) -> float | None:
    try:
        return await asyncio.wait_for(attempt, left_s)
    except (TimeoutError, aiohttp.ClientError):
        return None


async def _send(
    session: aiohttp.ClientSession,
    target: Target,
    caller: fleet.Caller,
    url: str,
    started_s: float,
) -> float | None:
    """Send a call; return the wait before the next try, or None for no more."""
    request = session.post(
        f"{url}/v1/chat/completions",
        data=json.dumps(_body(target, caller.plan)),
        headers=_headers(target, caller.plan),
    )
    async with request as response:
        if response.status != 200:
            return await _refused(caller, response)
        async for line in response.content:
            if not line.startswith(EVENT_PREFIX):
                continue
            now_s = time.monotonic() - started_s
            if line.removeprefix(EVENT_PREFIX).strip() == DONE:
                caller.done_s = now_s
                caller.delivered = caller.plan.output_tokens
                return None
            if b'"error"' in line:
                caller.failed = refusals.Reason.STREAM_CUT
                return None
            if caller.first_token_s is None:
                caller.first_token_s = now_s
    caller.failed = refusals.Reason.STREAM_CUT
    return None


async def _refused(
    caller: fleet.Caller, response: aiohttp.ClientResponse
) -> float | None:
    error = (await response.json())["error"]
    reason = refusals.Reason(error["code"])
    caller.reasons.append(reason)
    caller.failed = reason
    retry_after_s = error.get("retry_after_s")
    return None if retry_after_s is None else float(retry_after_s)


def _headers(target: Target, plan: arrivals.Plan) -> dict[str, str]:
    number = int(plan.account.rpartition("-")[2])
    key = target.keys[number % len(target.keys)]
    return {
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
        "X-Request-Class": target.class_names[plan.class_name],
        "Idempotency-Key": plan.fingerprint,
    }


def _body(target: Target, plan: arrivals.Plan) -> dict:
    """Return a body whose prompt starts like the others of its account."""
    shared = f"{plan.class_name} {plan.account} ".ljust(
        len(plan.prefix_digests) * arrivals.BLOCK_TOKENS * CHARACTERS_PER_TOKEN, "."
    )
    size = plan.input_tokens * CHARACTERS_PER_TOKEN
    prompt = (shared + f" call {plan.number} ").ljust(size, "-")
    return {
        "model": target.model_names.get(plan.class_name, "assistant"),
        "stream": True,
        "messages": [{"role": "user", "content": prompt}],
        "stand_in_output_tokens": plan.output_tokens,
    }


def _pairs(values: list[str]) -> dict[str, str]:
    return dict(value.split("=", 1) for value in values)


def main() -> None:
    """Drive routers from the command line and print the table."""
    parser = argparse.ArgumentParser(prog="python -m hickoryweir.load.http_driver")
    parser.add_argument("--scenario", default="morning_burst")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--url", action="append", required=True)
    parser.add_argument("--key", action="append", required=True)
    parser.add_argument("--class", dest="classes", action="append", required=True)
    parser.add_argument("--model", dest="models", action="append", default=[])
    parser.add_argument("--demand-factor", type=float)
    parser.add_argument("--duration", dest="duration_s", type=float)
    found = parser.parse_args()
    wanted = {
        "demand_factor": found.demand_factor,
        "duration_s": found.duration_s,
    }
    changes = {name: value for name, value in wanted.items() if value is not None}
    scenario = scenarios.load(found.scenario).model_copy(update=changes)
    target = Target(
        tuple(found.url),
        tuple(found.key),
        _pairs(found.classes),
        _pairs(found.models),
    )
    classes = aiomisc.run(drive(scenario, target, found.seed))
    print("\n".join(report.class_table([classes])))


if __name__ == "__main__":
    main()
