"""Uploads in the soak of planned stops whose server answers before it has read them.

A part that ends by a FIN and a reset may never look whole; a sound early response,
whose server reads on, stays whole.  See ``docs/design/response-ends.md``.
"""

import contextlib
import random

from hickoryweir.testing import promises
from hickoryweir.testing.soak import (
    stop_backends,
    stop_clients,
    stop_oracle,
    stop_records,
    stop_uploads,
)

BEHAVIOUR = "early upload"
SIZES_BYTES = (200_000, 900_000, 4 * stop_uploads.MIB - 1000)
RESPONSE_SIZES_BYTES = (100, 20_000, 300_000)
PAUSES_S = (0.0, 0.02, 0.1)
RETRY_S = 0.1
# A doubtful end is decided within it.
DECIDED_WITHIN_S = 2.0 + stop_oracle.LOSS_SLACK_S
STAYS_WHOLE = "a sound early response stays whole"


async def upload_repeatedly(target: stop_records.Target, number: int) -> None:
    """Upload to servers that answer early, until the grace of the stop is over."""
    generator = random.Random(f"{target.seed} {target.host} early {number}")
    start_s = generator.uniform(-stop_clients.LEAD_S, stop_records.LISTENER_CLOSE_S)
    await stop_clients.sleep_until(target, start_s)
    while target.now_s() < stop_records.GRACE_S:
        plan, form = draw_plan(generator), draw_form(generator)
        with contextlib.suppress(ConnectionRefusedError):
            await stop_uploads.upload(target, form, plan, BEHAVIOUR)
        await stop_clients.sleep_until(target, target.now_s() + RETRY_S)


def draw_plan(generator: random.Random) -> stop_records.Plan:
    """Return how a server answers an upload early."""
    return stop_records.Plan(
        early=generator.choice(stop_backends.EARLY_ENDS),
        work_s=generator.choice((0.0, 0.05, 0.5)),
        silence_s=generator.choice((0.0, 0.1, 0.3)),
        size_bytes=generator.choice(RESPONSE_SIZES_BYTES),
    )


def draw_form(generator: random.Random) -> stop_uploads.Form:
    """Return how a client uploads."""
    return stop_uploads.Form(
        generator.choice(SIZES_BYTES),
        generator.random() < 0.5,
        0.0,
        generator.choice(PAUSES_S),
    )


def check(targets: list[stop_records.Target]) -> list[stop_oracle.Finding]:
    """Check that sound early responses reached the client whole.

    Parts that look whole have no correct body, which the oracle finds at any request.
    """
    return [
        finding
        for target in targets
        for request in target.requests
        if request.plan.early
        for finding in check_sound(target, request)
    ]


def check_sound(
    target: stop_records.Target, request: stop_records.Request
) -> list[stop_oracle.Finding]:
    """Check an early response that its server ended well in time for the stop."""
    attempts = target.attempts.get(request.request_id, [])
    finished = [item.finished_s for item in attempts if item.finished_s is not None]
    is_broken = any(attempt.broke_off for attempt in attempts)
    if not finished or is_broken or not request.end:
        return []
    finished_s = min(finished) - target.signal_s
    is_late = finished_s + DECIDED_WITHIN_S > stop_oracle.LATE_WORK_S
    if is_late or (request.is_whole and request.status == 200):
        return []
    detail = f"{request.plan.early}, {stop_oracle.describe(target, request)}"
    violation = promises.Violation(STAYS_WHOLE, detail)
    lateness = stop_oracle.Lateness(finished_s, request.ended_s, DECIDED_WITHIN_S)
    return [stop_oracle.Finding(violation, target, request, lateness)]
