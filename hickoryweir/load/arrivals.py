"""Open arrivals, seeded: the same for every policy that is compared."""

import dataclasses
import math
import random
import zlib

from hickoryweir.load import deployments, scenarios

BLOCK_TOKENS = 64
LARGE_ACCOUNT_PICKS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One caller's wish: when, what, how long the answer is.

    ``crash_s`` is 0, or how long a backend server stays down after running it.
    """

    number: int
    at_s: float
    class_name: str
    account: str
    input_tokens: int
    output_tokens: int
    prefix_digests: tuple[int, ...]
    fingerprint: str
    crash_s: float = 0.0


def make_plans(
    scenario: scenarios.Scenario, site: deployments.Deployment, seed: int
) -> list[Plan]:
    """Return every call of a scenario in order of arrival.

    Parameters
    ----------
    scenario : scenarios.Scenario
        Demand and faults.
    site : deployments.Deployment
        Classes, accounts and their traffic.
    seed : int
        Equal seeds give equal calls.

    Returns
    -------
    list of Plan
        The calls, numbered from 0.
    """
    plans = []
    accounts = [item.name for item in site.configuration.accounts]
    large = accounts[: deployments.LARGE_ACCOUNTS_COUNT]
    picks = accounts + large * LARGE_ACCOUNT_PICKS
    for traffic in site.traffic:
        generator = random.Random(f"{seed}/{scenario.name}/{traffic.class_name}")
        for at_s in _times(scenario, traffic, generator):
            plans.append(_plan(traffic, at_s, generator.choice(picks), generator))
    plans += _poison(scenario, site, accounts)
    plans.sort(key=lambda plan: (plan.at_s, plan.class_name))
    return [
        dataclasses.replace(
            plan, number=number, fingerprint=plan.fingerprint or f"f{number}"
        )
        for number, plan in enumerate(plans)
    ]


def _times(
    scenario: scenarios.Scenario,
    traffic: deployments.Traffic,
    generator: random.Random,
) -> list[float]:
    bursts = [item for item in scenario.bursts if traffic.class_name in item.classes]
    rate = traffic.rate_per_s * scenario.demand_factor
    peak = rate * max([1.0, *(item.factor for item in bursts)])
    times = []
    now_s = generator.expovariate(peak)
    while now_s < scenario.duration_s:
        factor = 1.0
        for item in bursts:
            if item.start_s <= now_s < item.end_s:
                factor = item.factor
        if generator.random() * peak < rate * factor:
            times.append(now_s)
        now_s += generator.expovariate(peak)
    return times


def _plan(
    traffic: deployments.Traffic,
    at_s: float,
    account: str,
    generator: random.Random,
) -> Plan:
    mean_log = math.log(traffic.output_tokens) - traffic.sigma**2 / 2
    output = int(generator.lognormvariate(mean_log, traffic.sigma))
    own = traffic.input_tokens - traffic.prefix_tokens
    own = int(own * generator.uniform(0.5, 1.5))
    return Plan(
        0,
        at_s,
        traffic.class_name,
        account,
        traffic.prefix_tokens + own,
        min(4096, max(2, output)),
        _prefixes(traffic, account),
        "",
    )


def _prefixes(traffic: deployments.Traffic, account: str) -> tuple[int, ...]:
    blocks = traffic.prefix_tokens // BLOCK_TOKENS
    text = f"{traffic.class_name}/{account}"
    return tuple(zlib.crc32(f"{text}/{block}".encode()) for block in range(blocks))


def _poison(
    scenario: scenarios.Scenario,
    site: deployments.Deployment,
    accounts: list[str],
) -> list[Plan]:
    plans = []
    for index, fault in enumerate(scenario.faults):
        if fault.kind is not scenarios.FaultKind.POISON:
            continue
        for resend in range(fault.resends):
            plans.append(
                Plan(
                    0,
                    fault.at_s + 1.0 * resend,
                    fault.class_name,
                    accounts[-1],
                    300,
                    50,
                    (),
                    f"poison-{index}",
                    fault.for_s,
                )
            )
    return plans
