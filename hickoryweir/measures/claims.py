"""Measure the claims machine: ``python -m hickoryweir.measures.claims``.

Prints, per record, the bytes of its commands in the log, of a snapshot and of
memory, and the time to apply a claim with its outcome, to dump and to load.
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
    """Return a claim with its own key, and its outcome."""
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
    """Apply so many claims and outcomes and print the figures."""
    commands_by_record = [
        make_claim_and_outcome(number) for number in range(record_count)
    ]
    size_bytes = sum(len(codec.encode(command)) for command in commands_by_record[0])
    print(f"records {record_count}, answer {len(ANSWER.body)} bytes")
    print(f"commands in the log: {size_bytes} bytes a record")
    state = machine.initial_state()
    started_s = time.perf_counter()
    for index, (claim, outcome) in enumerate(commands_by_record):
        machine.apply(state, claim, index, START_TIME_S)
        machine.apply(state, outcome, index, START_TIME_S)
    elapsed_s = time.perf_counter() - started_s
    print(f"apply: {elapsed_s / record_count * MICROSECONDS_PER_SECOND:.1f} us a pair")
    started_s = time.perf_counter()
    dumped = snapshots.dump(state)
    print(f"dump: {time.perf_counter() - started_s:.3f} s")
    print(f"snapshot: {len(dumped) / record_count:.0f} bytes a record")
    del state, commands_by_record
    tracemalloc.start()
    loaded = snapshots.load(dumped)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"memory: {memory_bytes / record_count:.0f} bytes a record")
    del loaded
    started_s = time.perf_counter()
    snapshots.load(dumped)
    print(f"load: {time.perf_counter() - started_s:.3f} s")


def main() -> None:
    """Measure with the number of records that is asked for."""
    parser = argparse.ArgumentParser(description="measure the claims machine")
    parser.add_argument("--records", type=int, default=100_000)
    measure(parser.parse_args().records)


if __name__ == "__main__":
    main()
