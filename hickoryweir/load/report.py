"""Tables and JSON of results, median and range over seeds."""

import collections
import dataclasses
import json

from hickoryweir.load import results


def to_json(run_results: list[results.RunResult]) -> str:
    """Return all results as JSON."""
    rows = []
    for item in run_results:
        row = dataclasses.asdict(item)
        row["goodput_share"] = item.goodput_share
        row["wasted_share"] = item.wasted_share
        rows.append(row)
    return json.dumps(rows, indent=1)


def table(run_results: list[results.RunResult]) -> str:
    """Return a table by scenario, policy and class."""
    groups: dict[tuple[str, str], list[results.RunResult]] = {}
    for item in run_results:
        groups.setdefault((item.scenario, item.policy), []).append(item)
    lines: list[str] = []
    for (scenario, policy), runs in groups.items():
        lines += [f"## {scenario}: {policy} ({len(runs)} seeds)", ""]
        lines += _total_lines(runs) + [""] + _class_lines(runs) + [""]
    return "\n".join(lines)


def overview(run_results: list[results.RunResult]) -> str:
    """Return one line by scenario and policy: medians over seeds."""
    groups: dict[tuple[str, str], list[results.RunResult]] = {}
    for item in run_results:
        groups.setdefault((item.scenario, item.policy), []).append(item)
    lines = [
        "| scenario | policy | goodput % | wasted % | crashes | attainment by class |",
        "|---|---|---|---|---|---|",
    ]
    for (scenario, policy), runs in groups.items():
        cells = [
            scenario,
            policy,
            _format_range([100 * run.goodput_share for run in runs]),
            _format_range([100 * run.wasted_share for run in runs], digits=2),
            _format_range([float(run.crashes) for run in runs], digits=0),
            ", ".join(
                _format_attainment(runs, index) for index in range(_class_count(runs))
            ),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _class_count(runs: list[results.RunResult]) -> int:
    return len(runs[0].classes)


def _format_attainment(runs: list[results.RunResult], index: int) -> str:
    values = [100 * run.classes[index].attainment for run in runs]
    return f"{runs[0].classes[index].class_name} {_format_range(values)}"


def _total_lines(runs: list[results.RunResult]) -> list[str]:
    goodput = _format_range([100 * run.goodput_share for run in runs])
    wasted = _format_range([100 * run.wasted_share for run in runs], digits=2)
    crashes = _format_range([float(run.crashes) for run in runs], digits=0)
    causes = _format_mean_counts([run.wasted_tokens for run in runs])
    repeated = sum(run.repeated_runs for run in runs)
    return [
        f"goodput {goodput} % of the bound, wasted {wasted} % of generated,"
        f" crashes {crashes}, non-idempotent calls run more than once {repeated}",
        f"wasted tokens by cause (mean): {causes}",
    ]


def _class_lines(runs: list[results.RunResult]) -> list[str]:
    return class_table([run.classes for run in runs])


def class_table(by_run: list[tuple[results.ClassResult, ...]]) -> list[str]:
    """Return the lines of a table by class, median and range over runs."""
    lines = [
        "| class | tier | attainment % | completed % | first token p50/p95/p99 ms"
        " | answer p50/p95/p99 ms | goodput tokens/s | longest wait s | refusals |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for index, item in enumerate(by_run[0]):
        rows = [classes[index] for classes in by_run]
        cells = [
            item.class_name,
            str(item.tier),
            _format_range([100 * row.attainment for row in rows]),
            _format_range([100 * row.completed for row in rows]),
            _format_percentiles([row.first_token_ms for row in rows]),
            _format_percentiles([row.answer_ms for row in rows]),
            _format_range([row.goodput_tokens_per_s for row in rows], digits=0),
            _format_range([row.longest_wait_s for row in rows]),
            _format_mean_counts([row.refusals for row in rows]),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return lines


def _format_range(values: list[float], digits: int = 1) -> str:
    median, least, greatest = results.median_and_range(values)
    if least == greatest:
        return f"{median:.{digits}f}"
    return f"{median:.{digits}f} ({least:.{digits}f}-{greatest:.{digits}f})"


def _format_percentiles(values: list[tuple[float, ...]]) -> str:
    medians = [
        results.median_and_range(list(column))[0]
        for column in zip(*values, strict=True)
    ]
    return "/".join(f"{value:.0f}" for value in medians)


def _format_mean_counts(values: list[dict[str, int]]) -> str:
    total: collections.Counter = collections.Counter()
    for counts in values:
        total.update(counts)
    texts = [f"{name} {count / len(values):.0f}" for name, count in total.most_common()]
    return ", ".join(texts) or "none"
