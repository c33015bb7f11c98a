"""Measure the claims state machine: ``python -m hickoryweir.measures.claims``.

Prints the bytes per record in the log, in a snapshot and in memory, and the times to
apply a claim with its outcome, and to dump and load a snapshot.
"""

import argparse
import time
import tracemalloc

from hickoryweir.claims import commands, keys, machine, snapshots
from hickoryweir.streams import codec

ACCOUNT_COUNT = 10
START_TIME_S = 1_764_800_000.0
ANSWER = commands.Answered(200, "application/json", b"x" * 200)
MICROSECONDS_PER_SECOND = 1e6


def make_claim_and_outcome(
    number: int,
) -> tuple[commands.Claim, commands.RecordOutcome]:
    """Return a claim with a new key, and its outcome."""
    key = keys.make_key(START_TIME_S)
    account = f"account-{number % ACCOUNT_COUNT}"
    attempt_id = f"{number:032x}"
    digest = keys.digest_call("POST", "/services/top-up/charge", key.encode())
    claim = commands.Claim(
        account, key, START_TIME_S, digest, attempt_id, "top-up-1", "entry-vm-1"
    )
    outcome = commands.RecordOutcome(account, key, START_TIME_S, attempt_id, ANSWER)
    return claim, outcome


def measure(record_count: int) -> None:
    """Apply a number of claims with their outcomes; print sizes and times."""
    commands_by_record = [
        make_claim_and_outcome(number) for number in range(record_count)
    ]
    size_bytes = sum(len(codec.encode(command)) for command in commands_by_record[0])
    print(f"records {record_count}, answer {len(ANSWER.body)} bytes")
    print(f"commands in the log: {size_bytes} bytes per record")
    state = machine.initial_state()
    started_s = time.perf_counter()
    for index, (claim, outcome) in enumerate(commands_by_record):
        machine.apply(state, claim, index, START_TIME_S)
        machine.apply(state, outcome, index, START_TIME_S)
    elapsed_s = time.perf_counter() - started_s
    print(
        f"apply: {elapsed_s / record_count * MICROSECONDS_PER_SECOND:.1f} us"
        " per claim and outcome"
    )
    started_s = time.perf_counter()
    dumped = snapshots.dump(state)
    print(f"dump: {time.perf_counter() - started_s:.3f} s")
    print(f"snapshot: {len(dumped) / record_count:.0f} bytes per record")
    del state, commands_by_record
    tracemalloc.start()
    loaded = snapshots.load(dumped)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"memory: {memory_bytes / record_count:.0f} bytes per record")
    del loaded
    started_s = time.perf_counter()
    snapshots.load(dumped)
    print(f"load: {time.perf_counter() - started_s:.3f} s")


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description="measure the claims state machine")
    parser.add_argument("--records", type=int, default=100_000)
    measure(parser.parse_args().records)


if __name__ == "__main__":
    main()
