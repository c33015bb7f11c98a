"""Checks whether servers survived the losses of requests.

The decisions are in :mod:`hickoryweir.forwarding_policy.server_survival`.
"""

import asyncio

from hickoryweir import clocks
from hickoryweir.forwarding import contexts, probing
from hickoryweir.forwarding_policy import crash_counts, server_survival
from hickoryweir.observability import logs

# Longest wait of a blocked request for the checks that may release it.
DECISION_WAIT_S = 0.5


def begin(
    context: contexts.RequestContext, server_id: str, loss: crash_counts.Loss
) -> None:
    """Check the server of a loss in the background."""
    state = context.forwarder.loss_checks
    pending = state.pending.setdefault(server_id, [])
    item = contexts.UncheckedLoss(context.service_name, context.fingerprint, loss)
    pending.append(item)
    if len(pending) > 1:
        return
    task = asyncio.create_task(_check_server(context.forwarder, server_id))
    state.tasks.add(task)
    task.add_done_callback(state.tasks.discard)


async def _check_server(forwarder: contexts.Forwarder, server_id: str) -> None:
    """Check a server until it is known which of its losses it survived."""
    pending = forwarder.loss_checks.pending[server_id]
    checks: list[server_survival.Check] = []
    try:
        while pending:
            due_s = pending[0].loss.lost_s + server_survival.CHECK_AFTER_S
            if checks:
                due_s = max(
                    due_s, checks[-1].ended_s + server_survival.CHECK_INTERVAL_S
                )
            await asyncio.sleep(max(0.0, due_s - clocks.boottime_s()))
            begun_s = clocks.boottime_s()
            answer = await _ask(forwarder, server_id)
            now_s = clocks.boottime_s()
            first_s = pending[0].loss.lost_s
            checks = [check for check in checks if check.begun_s >= first_s]
            checks.append(server_survival.Check(begun_s, now_s, answer))
            for item in list(pending):
                verdict = server_survival.judge(item.loss.lost_s, checks, now_s)
                if verdict is not server_survival.Verdict.OPEN:
                    pending.remove(item)
                    _settle(forwarder, item, verdict)
    finally:
        # Only an error or the end of the router leaves any.
        del forwarder.loss_checks.pending[server_id]
        for item in pending:
            _settle(forwarder, item, server_survival.Verdict.CRASHED)


async def _ask(forwarder: contexts.Forwarder, server_id: str) -> server_survival.Answer:
    view = forwarder.pool.servers.get(server_id)
    if view is None:
        return server_survival.Answer.REFUSED
    return await probing.ask_alive(forwarder, view, server_survival.MIN_RESTART_S)


def _settle(
    forwarder: contexts.Forwarder,
    item: contexts.UncheckedLoss,
    verdict: server_survival.Verdict,
) -> None:
    has_survived = verdict is server_survival.Verdict.SURVIVED
    is_crash = crash_counts.settle(
        forwarder.crashes, item.fingerprint, item.loss, has_survived=has_survived
    )
    if is_crash:
        forwarder.report_lost(item.loss.server_id, item.fingerprint, item.loss.lost_s)
    if is_crash and has_survived:
        fields = logs.Fields(
            backend_server=item.loss.server_id,
            detail=f"{crash_counts.MAX_SURVIVED_COUNT} losses without progress",
        )
        logs.info("loss counted although its server survived", fields)
    outcome = "counted" if is_crash and has_survived else verdict.value
    forwarder.metrics.checked_losses.labels(item.service_name, outcome).inc()
    state = forwarder.loss_checks
    state.decided.set()
    state.decided = asyncio.Event()


async def wait_for_decision(forwarder: contexts.Forwarder, fingerprint: int) -> None:
    """Wait while a blocked request may be released by checks, for a bounded time."""
    counts = forwarder.crashes
    try:
        async with asyncio.timeout(DECISION_WAIT_S):
            while crash_counts.is_undecided(
                counts, fingerprint
            ) and crash_counts.is_blocked(counts, fingerprint, clocks.boottime_s()):
                await forwarder.loss_checks.decided.wait()
    except TimeoutError:
        # The losses count until they are decided.
        return
