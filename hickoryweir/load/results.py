"""Results of runs by class: attainment, latency, goodput, waste, refusals."""

import collections
import dataclasses
import statistics

from hdrh import histogram

from hickoryweir.configuration import model
from hickoryweir.load import bound, fleet

HIGHEST_MS = 600_000
PERCENTILES = (50.0, 95.0, 99.0)


@dataclasses.dataclass(frozen=True, slots=True)
class ClassResult:
    """One class in one run.

    Attributes
    ----------
    attainment : float
        Share of calls whose first token and whole answer met the targets,
        counted from the caller's first send.
    completed : float
        Share of calls with a whole answer before the caller's deadline.
    longest_wait_s : float
        Longest time to a first token, or to giving up.
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
    """One run of one policy with one seed."""

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
        """Return goodput as a share of the bound."""
        return self.goodput_tokens / max(1.0, self.bound_tokens)

    @property
    def wasted_share(self) -> float:
        """Return wasted tokens as a share of those generated."""
        return sum(self.wasted_tokens.values()) / max(1, self.generated_tokens)


def summarize(run: fleet.Run, seed: int) -> RunResult:
    """Return the results of a finished run."""
    by_class: dict[str, list[fleet.Caller]] = collections.defaultdict(list)
    for caller in run.callers:
        if not caller.plan.crash_s:
            by_class[caller.plan.class_name].append(caller)
    classes = sorted(run.site.configuration.classes, key=lambda c: (c.tier, c.name))
    idempotent = {item.name: item.idempotent for item in classes}
    return RunResult(
        run.scenario.name,
        run.policy.name,
        seed,
        tuple(
            class_result(item, by_class[item.name], run.scenario.duration_s)
            for item in classes
        ),
        sum(caller.delivered for caller in run.callers),
        bound.goodput_tokens(run),
        sum(engine.generated_tokens for engine in run.engines.values()),
        dict(run.wasted),
        sum(engine.crashes for engine in run.engines.values()),
        sum(
            caller.runs > 1
            for caller in run.callers
            if not idempotent[caller.plan.class_name]
        ),
    )


def class_result(
    item: model.RequestClass, callers: list[fleet.Caller], duration_s: float
) -> ClassResult:
    """Return the results of one class's callers."""
    first = histogram.HdrHistogram(1, HIGHEST_MS, 3)
    answer = histogram.HdrHistogram(1, HIGHEST_MS, 3)
    refused: collections.Counter = collections.Counter()
    failed: collections.Counter = collections.Counter()
    met = completed = tokens = 0
    longest_s = 0.0
    for caller in callers:
        refused.update(str(reason) for reason in caller.reasons)
        waited_s = caller.deadline_s - caller.plan.at_s
        if caller.first_token_s is not None:
            waited_s = caller.first_token_s - caller.plan.at_s
            first.record_value(max(1, int(1000 * waited_s)))
        longest_s = max(longest_s, waited_s)
        if caller.done_s is None:
            failed[str(caller.failed or "deadline")] += 1
            continue
        answer_s = caller.done_s - caller.plan.at_s
        answer.record_value(max(1, int(1000 * answer_s)))
        completed += 1
        tokens += caller.delivered
        met += (
            waited_s <= item.first_token_target_s and answer_s <= item.answer_target_s
        )
    count = max(1, len(callers))
    return ClassResult(
        item.name,
        item.tier,
        len(callers),
        met / count,
        completed / count,
        tuple(first.get_value_at_percentile(p) for p in PERCENTILES),
        tuple(answer.get_value_at_percentile(p) for p in PERCENTILES),
        tokens / duration_s,
        dict(refused),
        dict(failed),
        longest_s,
    )


def median_and_spread(values: list[float]) -> tuple[float, float, float]:
    """Return median, least and greatest."""
    return statistics.median(values), min(values), max(values)
