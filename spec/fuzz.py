"""Fuzz the code: ``python -m spec.fuzz --minutes 5 [--seed N] [--target T]``.

Each round uses the next seed.  To reproduce a failure, pass the seed printed with it
and ``--minutes 0``, which runs a single round.
"""

import argparse
import dataclasses
import random
import re
import sys
import time

import hypothesis
from absl import logging
from hypothesis import stateful

from spec import (
    claims_fuzz,
    cluster_fuzz,
    copies_fuzz,
    feeds_fuzz,
    lists_fuzz,
    members_fuzz,
    responses_fuzz,
)

SECONDS_PER_MINUTE = 60.0
SEED_MAX = 2**31
INVARIANT_LINE = re.compile(r"state\.check_\w+\(\)$")


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A state machine to fuzz, with the numbers of examples and steps of a round."""

    machine: type[stateful.RuleBasedStateMachine]
    example_count: int
    step_count: int


TARGETS = {
    "claims": Target(claims_fuzz.ClaimsMachine, 100, 60),
    "cluster": Target(cluster_fuzz.ClusterMachine, 100, 80),
    "copies": Target(copies_fuzz.CopiesMachine, 20, 5),
    "feeds": Target(feeds_fuzz.FeedsMachine, 10, 5),
    "lists": Target(lists_fuzz.ListsMachine, 100, 40),
    "members": Target(members_fuzz.MembersMachine, 60, 60),
    "responses": Target(responses_fuzz.ResponsesMachine, 20, 5),
}


@dataclasses.dataclass(slots=True)
class Tally:
    """Numbers of runs and steps so far, including those made while shrinking."""

    run_count: int = 0
    step_count: int = 0


def make_settings(
    example_count: int, step_count: int, derandomize: bool
) -> hypothesis.settings:
    """Return settings without an example database or a deadline."""
    return hypothesis.settings(
        max_examples=example_count,
        stateful_step_count=step_count,
        derandomize=derandomize,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def fuzz_once(target: Target, seed: int, tally: Tally) -> None:
    """Run one round with a seed.

    Parameters
    ----------
    target : Target
        State machine to fuzz.
    seed : int
        The same seed gives the same round.
    tally : Tally
        Incremented by the runs and steps of this round.

    Raises
    ------
    AssertionError
        If the code and the oracle disagree; hypothesis prints the steps.
    """

    class Counted(target.machine):
        def __init__(self):
            super().__init__()
            tally.run_count += 1

        @stateful.invariant()
        def check_count(self):
            tally.step_count += 1

    settings = make_settings(target.example_count, target.step_count, False)
    seeded = hypothesis.seed(seed)(Counted)
    stateful.run_state_machine_as_test(seeded, settings=settings)


def describe(error: BaseException) -> str:
    """Format an error with its notes, without the lines of the invariants."""
    failures = getattr(error, "exceptions", (error,))
    lines = [
        line
        for failure in failures
        for line in (repr(failure), *getattr(failure, "__notes__", ()))
    ]
    text = "\n".join(lines)
    kept = [line for line in text.splitlines() if not INVARIANT_LINE.search(line)]
    return "\n".join(kept)


def fuzz(name: str, seed: int, duration_s: float) -> bool:
    """Run rounds for the given duration; return whether all passed."""
    tally = Tally()
    until_s = time.monotonic() + duration_s
    while True:
        try:
            fuzz_once(TARGETS[name], seed, tally)
        except Exception as error:
            print(f"{name}: failed on seed {seed}", flush=True)
            print(describe(error), flush=True)
            return False
        if time.monotonic() >= until_s:
            break
        seed += 1
    print(
        f"{name}: {tally.run_count} runs, {tally.step_count} steps, none failed, "
        f"last seed {seed}"
    )
    return True


def main() -> int:
    """Fuzz the chosen targets and return the exit status."""
    parser = argparse.ArgumentParser(
        description="fuzz claims, replicas, copies, feeds, lists and responses"
    )
    parser.add_argument(
        "--minutes", type=float, default=1.0, help="duration per target"
    )
    parser.add_argument("--seed", type=int, default=None, help="first seed")
    parser.add_argument("--target", choices=sorted(TARGETS), default=None)
    arguments = parser.parse_args()
    seed = arguments.seed
    if seed is None:
        seed = random.SystemRandom().randrange(SEED_MAX)
    # Log lines of the failures that are expected would hide the result.
    logging.set_verbosity(logging.FATAL)
    names = [arguments.target] if arguments.target else sorted(TARGETS)
    print(f"first seed {seed}", flush=True)
    duration_s = arguments.minutes * SECONDS_PER_MINUTE
    clean = [fuzz(name, seed, duration_s) for name in names]
    return 0 if all(clean) else 1


if __name__ == "__main__":
    sys.exit(main())
