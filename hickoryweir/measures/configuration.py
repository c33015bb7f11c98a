"""Measure a day of changes: ``python -m hickoryweir.measures.configuration``.

Applies consecutive changes to the state machine and prints their time, memory and
size in the log and in a snapshot; then the time to parse a large configuration,
completely and with one section changed.
"""

import argparse
import dataclasses
import gc
import pathlib
import time
import tracemalloc

from hickoryweir.cli import tables
from hickoryweir.configuration import (
    changes,
    commands,
    deltas,
    generator,
    model,
    parse,
    render,
)
from hickoryweir.streams import codec

SECONDS_PER_DAY = 86_400.0
SUMMARY_DIGITS_COUNT = 4
BYTES_PER_MB = 1_000_000
CHANGED_LINE = "max_concurrency = 16"


def make_change(answers: str, text: str, number: int, time_s: float):
    """Return the command of one change; its content differs from all others."""
    summary = f"summary {number:0{SUMMARY_DIGITS_COUNT}}"
    return commands.make_submit(
        f"{number}-measure",
        f"operator-{number % 5}",
        time_s,
        number,
        answers + f"# {summary}\n",
        text.replace("customer = ", f"customer = c{number}-", 1),
        summary,
    )


def measure_changes(answers: str, text: str, change_count: int) -> dict[str, object]:
    """Apply a day of changes and return times and sizes.

    Parameters
    ----------
    answers, text : str
        Answers file, and the canonical configuration generated from it.
    change_count : int
        Number of changes, spread over a day of log time.
    """
    state = changes.initial_state()
    log_bytes = 0
    apply_s = 0.0
    gc.collect()
    tracemalloc.start()
    for number in range(change_count):
        time_s = number * SECONDS_PER_DAY / change_count
        command = make_change(answers, text, number, time_s)
        log_bytes += len(codec.encode(command))
        started_s = time.perf_counter()
        reply = changes.apply(state, command, number + 1, time_s)
        apply_s += time.perf_counter() - started_s
        assert reply == commands.Accepted(number + 1)
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    snapshot = changes.dump(state)
    started_s = time.perf_counter()
    assert changes.load(snapshot) == state
    return {
        "changes": change_count,
        "apply_ms": 1000 * apply_s / change_count,
        "log_mb": log_bytes / BYTES_PER_MB,
        "log_bytes_per_change": log_bytes / change_count,
        "state_memory_mb": memory_bytes / BYTES_PER_MB,
        "snapshot_mb": len(snapshot) / BYTES_PER_MB,
        "load_s": time.perf_counter() - started_s,
    }


def add_engines(configuration: model.Configuration, server_count: int):
    """Return the configuration with additional engines."""
    template = configuration.backend_servers[0]
    servers = tuple(
        dataclasses.replace(
            template,
            name=f"engine-{number:05}",
            url=f"http://10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8000",
        )
        for number in range(server_count)
    )
    servers += configuration.backend_servers
    return render.canonicalize(
        dataclasses.replace(configuration, backend_servers=servers)
    )


def measure_parsing(
    configuration: model.Configuration, server_count: int
) -> dict[str, object]:
    """Return sizes and parse times for a configuration with many engines."""
    enlarged = add_engines(configuration, server_count)
    text = render.render(enlarged)
    started_s = time.perf_counter()
    _, cache = parse.parse_canonical(text, enlarged.digest, "").unwrap()
    read_whole_s = time.perf_counter() - started_s
    changed = text.replace(CHANGED_LINE, f"{CHANGED_LINE}0", 1)
    started_s = time.perf_counter()
    parse.parse_canonical(changed, "", "", cache).unwrap()
    read_changed_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    delta = deltas.diff(text, changed)
    deltas.patch(text, delta)
    return {
        "engines_added": server_count,
        "text_mb": len(text) / BYTES_PER_MB,
        "compressed_mb": len(commands.compress(text)) / BYTES_PER_MB,
        "read_whole_s": read_whole_s,
        "read_one_changed_s": read_changed_s,
        "diff_and_patch_s": time.perf_counter() - started_s,
        "delta_bytes": len(codec.encode(delta)),
    }


def main() -> None:
    """Measure and print tables."""
    parser = argparse.ArgumentParser(
        prog="python -m hickoryweir.measures.configuration"
    )
    parser.add_argument("--changes", type=int, nargs="+", default=[1000, 10_000])
    parser.add_argument("--servers", type=int, nargs="+", default=[0, 1000, 12_000])
    parser.add_argument(
        "--answers",
        type=pathlib.Path,
        default=pathlib.Path("examples/kitamori/answers.ini"),
    )
    arguments = parser.parse_args()
    answers = arguments.answers.read_text(encoding="utf-8")
    configuration = generator.generate_text(answers, str(arguments.answers)).unwrap()
    text = render.render(configuration)
    rows = [measure_changes(answers, text, count) for count in arguments.changes]
    print(tables.render_records(rows))
    rows = [measure_parsing(configuration, count) for count in arguments.servers]
    print(tables.render_records(rows))


if __name__ == "__main__":
    main()
