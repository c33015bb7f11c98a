"""Open-loop arrivals from a seed, identical for all policies under comparison."""

import dataclasses
import math
import random
import zlib

from hickoryweir.load import deployments, scenarios

BLOCK_TOKENS = 64
LARGE_ACCOUNT_EXTRA_WEIGHT = 5  # added to the weight 1 of every account


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCall:
    """A call to send: its arrival time, class, account and sizes.

    Attributes
    ----------
    number : int
        Position in the order of arrival.
    fingerprint : str
        Equal for resends of one poison request; unique otherwise.
    crash_downtime_s : float
        0, or how long an engine stays down after the call has crashed it.
    """

    number: int
    arrival_s: float
    class_name: str
    account: str
    input_tokens: int
    output_tokens: int
    prefix_digests: tuple[int, ...]
    fingerprint: str
    crash_downtime_s: float = 0.0


def plan_calls(
    scenario: scenarios.Scenario, deployment: deployments.Deployment, seed: int
) -> list[PlannedCall]:
    """Return every call of a scenario in order of arrival.

    Parameters
    ----------
    scenario : scenarios.Scenario
        Demand and faults.
    deployment : deployments.Deployment
        Classes, accounts and their traffic.
    seed : int
        Equal seeds give equal calls.

    Returns
    -------
    list of PlannedCall
        The calls, numbered from 0.
    """
    plans = []
    accounts = [item.name for item in deployment.configuration.accounts]
    large = accounts[: deployments.LARGE_ACCOUNTS_COUNT]
    weighted_accounts = accounts + large * LARGE_ACCOUNT_EXTRA_WEIGHT
    for traffic in deployment.traffic:
        generator = random.Random(f"{seed}/{scenario.name}/{traffic.class_name}")
        for arrival_s in _arrival_times_s(scenario, traffic, generator):
            plans.append(
                _plan_call(
                    traffic, arrival_s, generator.choice(weighted_accounts), generator
                )
            )
    plans += _plan_poison_calls(scenario, deployment, accounts)
    plans.sort(key=lambda plan: (plan.arrival_s, plan.class_name))
    return [
        dataclasses.replace(
            plan, number=number, fingerprint=plan.fingerprint or f"f{number}"
        )
        for number, plan in enumerate(plans)
    ]


def _arrival_times_s(
    scenario: scenarios.Scenario,
    traffic: deployments.Traffic,
    generator: random.Random,
) -> list[float]:
    bursts = [item for item in scenario.bursts if traffic.class_name in item.classes]
    rate_per_s = traffic.rate_per_s * scenario.demand_factor
    peak_per_s = rate_per_s * max([1.0, *(item.factor for item in bursts)])
    times_s = []
    now_s = generator.expovariate(peak_per_s)
    while now_s < scenario.duration_s:
        factor = 1.0
        for item in bursts:
            if item.start_s <= now_s < item.end_s:
                factor = item.factor
        if generator.random() * peak_per_s < rate_per_s * factor:
            times_s.append(now_s)
        now_s += generator.expovariate(peak_per_s)
    return times_s


def _plan_call(
    traffic: deployments.Traffic,
    arrival_s: float,
    account: str,
    generator: random.Random,
) -> PlannedCall:
    mean_log = math.log(traffic.output_tokens) - traffic.output_log_sigma**2 / 2
    output_tokens = int(generator.lognormvariate(mean_log, traffic.output_log_sigma))
    unique_tokens = traffic.input_tokens - traffic.prefix_tokens
    unique_tokens = int(unique_tokens * generator.uniform(0.5, 1.5))
    return PlannedCall(
        0,
        arrival_s,
        traffic.class_name,
        account,
        traffic.prefix_tokens + unique_tokens,
        min(4096, max(2, output_tokens)),
        _prefix_digests(traffic, account),
        "",
    )


def _prefix_digests(traffic: deployments.Traffic, account: str) -> tuple[int, ...]:
    blocks = traffic.prefix_tokens // BLOCK_TOKENS
    text = f"{traffic.class_name}/{account}"
    return tuple(zlib.crc32(f"{text}/{block}".encode()) for block in range(blocks))


def _plan_poison_calls(
    scenario: scenarios.Scenario,
    deployment: deployments.Deployment,
    accounts: list[str],
) -> list[PlannedCall]:
    plans = []
    for index, fault in enumerate(scenario.faults):
        if fault.kind is not scenarios.FaultKind.POISON:
            continue
        for resend in range(fault.resends):
            plans.append(
                PlannedCall(
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
