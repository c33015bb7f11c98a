"""Results of runs by class: attainment, latency, goodput, waste, refusals."""

import collections
import dataclasses
import statistics

from hdrh import histogram

from hickoryweir.configuration import model
from hickoryweir.load import bound, fleet

MAX_LATENCY_MS = 600_000
PERCENTILES = (50.0, 95.0, 99.0)


@dataclasses.dataclass(frozen=True, slots=True)
class ClassResult:
    """Results of one class in one run.

    Attributes
    ----------
    attainment : float
        Share of calls whose first token and complete answer met the targets,
        counted from the caller's first send.
    completed : float
        Share of calls with a complete answer before the caller's deadline.
    longest_wait_s : float
        Longest time to a first token, or to the deadline without one.
    """

    class_name: str
    tier: int
    calls: int
    attainment: float
    completed: float
    first_token_ms: tuple[float, ...]
    answer_ms: tuple[float, ...]
    goodput_tokens_per_s: float
    refusals: dict[str, int]
    failures: dict[str, int]
    longest_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Results of one policy with one seed.

    Attributes
    ----------
    bound_tokens : float
        Upper bound on goodput, from :mod:`hickoryweir.load.bound`.
    wasted_tokens : dict of str to int
        Generated tokens that no caller used, by cause.
    crashes : int
        Crashes of engines.
    repeated_runs : int
        Non-idempotent calls that engines started more than once.
    """

    scenario: str
    policy: str
    seed: int
    classes: tuple[ClassResult, ...]
    goodput_tokens: int
    bound_tokens: float
    generated_tokens: int
    wasted_tokens: dict[str, int]
    crashes: int
    repeated_runs: int

    @property
    def goodput_share(self) -> float:
        """Goodput as a share of the bound."""
        return self.goodput_tokens / max(1.0, self.bound_tokens)

    @property
    def wasted_share(self) -> float:
        """Wasted tokens as a share of those generated."""
        return sum(self.wasted_tokens.values()) / max(1, self.generated_tokens)


def summarize(run: fleet.Run, seed: int) -> RunResult:
    """Return the results of a finished run."""
    by_class: dict[str, list[fleet.Caller]] = collections.defaultdict(list)
    for caller in run.callers:
        if not caller.plan.crash_downtime_s:
            by_class[caller.plan.class_name].append(caller)
    classes = sorted(
        run.deployment.configuration.classes, key=lambda c: (c.tier, c.name)
    )
    idempotent = {item.name: item.idempotent for item in classes}
    return RunResult(
        run.scenario.name,
        run.policy.name,
        seed,
        tuple(
            summarize_class(item, by_class[item.name], run.scenario.duration_s)
            for item in classes
        ),
        sum(caller.delivered_tokens for caller in run.callers),
        bound.goodput_tokens(run),
        sum(engine.generated_tokens for engine in run.engines.values()),
        dict(run.wasted_tokens),
        sum(engine.crashes for engine in run.engines.values()),
        sum(
            caller.runs_count > 1
            for caller in run.callers
            if not idempotent[caller.plan.class_name]
        ),
    )


def summarize_class(
    item: model.RequestClass, callers: list[fleet.Caller], duration_s: float
) -> ClassResult:
    """Return the results of one class's callers."""
    first_token = histogram.HdrHistogram(1, MAX_LATENCY_MS, 3)
    answer = histogram.HdrHistogram(1, MAX_LATENCY_MS, 3)
    refusals: collections.Counter = collections.Counter()
    failures: collections.Counter = collections.Counter()
    met_count = completed_count = delivered_tokens = 0
    longest_wait_s = 0.0
    for caller in callers:
        refusals.update(str(reason) for reason in caller.refusal_reasons)
        wait_s = caller.deadline_s - caller.plan.arrival_s
        if caller.first_token_s is not None:
            wait_s = caller.first_token_s - caller.plan.arrival_s
            first_token.record_value(max(1, int(1000 * wait_s)))
        longest_wait_s = max(longest_wait_s, wait_s)
        if caller.completed_s is None:
            failures[str(caller.failure_reason or "deadline")] += 1
            continue
        answer_s = caller.completed_s - caller.plan.arrival_s
        answer.record_value(max(1, int(1000 * answer_s)))
        completed_count += 1
        delivered_tokens += caller.delivered_tokens
        met_count += (
            wait_s <= item.first_token_target_s and answer_s <= item.answer_target_s
        )
    count = max(1, len(callers))
    return ClassResult(
        item.name,
        item.tier,
        len(callers),
        met_count / count,
        completed_count / count,
        tuple(first_token.get_value_at_percentile(p) for p in PERCENTILES),
        tuple(answer.get_value_at_percentile(p) for p in PERCENTILES),
        delivered_tokens / duration_s,
        dict(refusals),
        dict(failures),
        longest_wait_s,
    )


def median_and_range(values: list[float]) -> tuple[float, float, float]:
    """Return the median, minimum and maximum."""
    return statistics.median(values), min(values), max(values)
