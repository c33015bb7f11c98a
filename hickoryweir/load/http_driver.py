"""Open-loop HTTP load on real routers: ``python -m hickoryweir.load.http_driver``.

Each call is sent at its planned time, whether or not earlier ones were answered, so
that latencies include all waiting (no coordinated omission).  Refused calls are sent
again after the ``retry_after_s`` of the refusal.
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
SSE_DONE_DATA = b"[DONE]"
SSE_DATA_PREFIX = b"data:"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Routers to send calls to, with the keys and names to use.

    Attributes
    ----------
    urls : tuple of str
        Routers; each call goes to a random one, as by the platform's load balancer.
    keys : tuple of str
        Keys of client accounts, assigned to the scenario's accounts in rotation.
    class_names : dict of str to str
        Name of each scenario class in the configuration in force; calls of
        classes without an entry are not sent.
    model_names : dict of str to str
        Model of each scenario class; ``assistant`` for classes without an entry.
    """

    urls: tuple[str, ...]
    keys: tuple[str, ...]
    class_names: dict[str, str]
    model_names: dict[str, str]


async def send_calls(
    scenario: scenarios.Scenario, target: Target, seed: int
) -> tuple[results.ClassResult, ...]:
    """Send a scenario's calls to real routers and return the results by class.

    The scenario's faults are not injected.

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
        Results of the classes that were sent, by tier and name.
    """
    deployment = deployments.make_deployment(scenario.deployment)
    classes = [
        c for c in deployment.configuration.classes if c.name in target.class_names
    ]
    deadlines = {item.name: item.deadline_s for item in classes}
    callers = [
        fleet.Caller(plan, plan.arrival_s + deadlines[plan.class_name])
        for plan in arrivals.plan_calls(scenario, deployment, seed)
        if plan.class_name in deadlines and not plan.crash_downtime_s
    ]
    generator = random.Random(seed)
    started_s = time.monotonic()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(
            *(_run_caller(session, target, c, generator, started_s) for c in callers)
        )
    classes.sort(key=lambda item: (item.tier, item.name))
    return tuple(
        results.summarize_class(
            item,
            [c for c in callers if c.plan.class_name == item.name],
            scenario.duration_s,
        )
        for item in classes
    )


async def _run_caller(
    session: aiohttp.ClientSession,
    target: Target,
    caller: fleet.Caller,
    generator: random.Random,
    started_s: float,
) -> None:
    """Send a call until it is answered, finally refused or past its deadline."""
    next_send_s = caller.plan.arrival_s
    while next_send_s is not None:
        await asyncio.sleep(max(0.0, started_s + next_send_s - time.monotonic()))
        remaining_s = caller.deadline_s - (time.monotonic() - started_s)
        if remaining_s <= 0:
            return
        caller.sends_count += 1
        url = generator.choice(target.urls)
        attempt = _send_once(session, target, caller, url, started_s)
        wait_s = await _with_timeout(attempt, remaining_s)
        next_send_s = None
        if wait_s is not None:
            next_send_s = time.monotonic() - started_s + wait_s


async def _with_timeout(
    attempt: Awaitable[float | None], remaining_s: float
) -> float | None:
    try:
        return await asyncio.wait_for(attempt, remaining_s)
    except (TimeoutError, aiohttp.ClientError):
        return None


async def _send_once(
    session: aiohttp.ClientSession,
    target: Target,
    caller: fleet.Caller,
    url: str,
    started_s: float,
) -> float | None:
    """Send a call; return the wait before the next send, or None for no retry."""
    request = session.post(
        f"{url}/v1/chat/completions",
        data=json.dumps(_make_body(target, caller.plan)),
        headers=_make_headers(target, caller.plan),
    )
    async with request as response:
        if response.status != 200:
            return await _read_refusal(caller, response)
        async for line in response.content:
            if not line.startswith(SSE_DATA_PREFIX):
                continue
            now_s = time.monotonic() - started_s
            if line.removeprefix(SSE_DATA_PREFIX).strip() == SSE_DONE_DATA:
                caller.completed_s = now_s
                caller.delivered_tokens = caller.plan.output_tokens
                return None
            if b'"error"' in line:
                caller.failure_reason = refusals.Reason.STREAM_CUT
                return None
            if caller.first_token_s is None:
                caller.first_token_s = now_s
    caller.failure_reason = refusals.Reason.STREAM_CUT
    return None


async def _read_refusal(
    caller: fleet.Caller, response: aiohttp.ClientResponse
) -> float | None:
    error = (await response.json())["error"]
    reason = refusals.Reason(error["code"])
    caller.refusal_reasons.append(reason)
    caller.failure_reason = reason
    retry_after_s = error.get("retry_after_s")
    return None if retry_after_s is None else float(retry_after_s)


def _make_headers(target: Target, plan: arrivals.PlannedCall) -> dict[str, str]:
    number = int(plan.account.rpartition("-")[2])
    key = target.keys[number % len(target.keys)]
    return {
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
        "X-Request-Class": target.class_names[plan.class_name],
        "Idempotency-Key": plan.fingerprint,
    }


def _make_body(target: Target, plan: arrivals.PlannedCall) -> dict:
    """Return a body whose prompt shares a prefix with others of its account."""
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


def _parse_pairs(values: list[str]) -> dict[str, str]:
    return dict(value.split("=", 1) for value in values)


def main() -> None:
    """Run the driver from the command line and print the table."""
    parser = argparse.ArgumentParser(prog="python -m hickoryweir.load.http_driver")
    parser.add_argument("--scenario", default="morning_burst")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--url", action="append", required=True)
    parser.add_argument("--key", action="append", required=True)
    parser.add_argument("--class", dest="classes", action="append", required=True)
    parser.add_argument("--model", dest="models", action="append", default=[])
    parser.add_argument("--demand-factor", type=float)
    parser.add_argument("--duration", dest="duration_s", type=float)
    arguments = parser.parse_args()
    overrides = {
        "demand_factor": arguments.demand_factor,
        "duration_s": arguments.duration_s,
    }
    updates = {name: value for name, value in overrides.items() if value is not None}
    scenario = scenarios.load(arguments.scenario).model_copy(update=updates)
    target = Target(
        tuple(arguments.url),
        tuple(arguments.key),
        _parse_pairs(arguments.classes),
        _parse_pairs(arguments.models),
    )
    classes = aiomisc.run(send_calls(scenario, target, arguments.seed))
    print("\n".join(report.class_table([classes])))


if __name__ == "__main__":
    main()
