"""Records which requests crash backend servers, and refuses them.

The decisions are in :mod:`hickoryweir.forwarding_policy.crash_counts`, for equal
requests, and in :mod:`hickoryweir.forwarding_policy.crashing_parts`, for requests that
share a part of their prompts.
"""

import time
from collections.abc import Iterable

import xxhash

from hickoryweir import clocks
from hickoryweir.engines import framing
from hickoryweir.feeds import evidence, messages
from hickoryweir.forwarding import contexts, header_codec, loss_checks
from hickoryweir.forwarding_policy import crash_counts, crashing_parts
from hickoryweir.observability import logs

# A server that has written events for this long does not crash on the prompt.
PROGRESS_AFTER_S = 1.0
# Clients choose the ids and the number of parts.
MAX_PART_ID_LENGTH = 64
MAX_PARTS_PER_PROMPT = 32
# Routers report a loss, and replicas pass it on, within this time.
REPORTS_WAIT_S = 0.1
# Tells the other routers that requests with a blocked part still come.
REFUSAL_REPORT_INTERVAL_S = 60.0
# Other routers may refuse a request soon that was lost so often.
MIN_TOLD_LOSSES_COUNT = 2
# Ends of a response that the end of the server's process may have caused.
CRASH_ENDS = frozenset(
    {framing.End.CUT_IN_BODY, framing.End.CUT_IN_EVENT, framing.End.CUT_BEFORE_EVENTS}
)
# Ends that the router brings about while the server goes on sending.
ALIVE_ENDS = frozenset({framing.End.NO_ROOM, framing.End.TOO_LARGE})


def shared_part_ids(prompt: header_codec.Prompt | None) -> tuple[str, ...]:
    """Return the ids of the parts that other requests may share.

    Examples
    --------
    >>> parts = tuple(header_codec.PromptPart(part_id, 9) for part_id in "abc")
    >>> shared_part_ids(header_codec.Prompt("m", 27, 1, parts))
    ('a', 'b')
    """
    if prompt is None:
        return ()
    parts = prompt.parts[:-1][:MAX_PARTS_PER_PROMPT]
    return tuple(part.part_id[:MAX_PART_ID_LENGTH] for part in parts)


def find_blocked(
    forwarder: contexts.Forwarder,
    service_name: str,
    prompt: header_codec.Prompt | None,
) -> str | None:
    """Return the part because of which a prompt must not be sent to a service.

    A trial that this router was allowed is used up, and lets the prompt through.
    """
    state, part_ids = forwarder.suspect_parts, shared_part_ids(prompt)
    part_id = crashing_parts.find_blocked(state, service_name, part_ids)
    if part_id is None or not state.trials:
        return part_id
    now_s = clocks.boottime_s()
    if not crashing_parts.use_trial(state, service_name, part_ids, now_s):
        return part_id
    logs.info("trial of a blocked prompt part", logs.Fields(detail=part_id))
    return None


def allow_trial(forwarder: contexts.Forwarder, message: messages.PartTrial) -> None:
    """Let one request with a blocked part through."""
    key = (message.service_name, message.part_id)
    now_s = clocks.boottime_s()
    crashing_parts.allow_trial(forwarder.suspect_parts, key, now_s)


def is_blocked(context: contexts.RequestContext) -> bool:
    """Return whether a request must not be sent to another server."""
    forwarder = context.forwarder
    if crash_counts.is_blocked(
        forwarder.crashes, context.fingerprint, clocks.boottime_s()
    ):
        return True
    name, prompt = context.service_name, context.metadata.prompt
    return find_blocked(forwarder, name, prompt) is not None


def record_refusal(forwarder: contexts.Forwarder, part_id: str) -> str:
    """Record that a request is refused because of a part; return why, for the log."""
    state, now_s = forwarder.suspect_parts, clocks.boottime_s()
    keys = [(name, part_id) for name in sorted(state.blocked[part_id])]
    refused_at_s = max(state.evidence[key].refused_at_s for key in keys)
    crashing_parts.record_refusal(state, part_id, now_s)
    if now_s - refused_at_s >= REFUSAL_REPORT_INTERVAL_S:
        forwarder.report_evidence(keys)
    known = state.evidence[keys[0]]
    return f"part {part_id}, {describe_evidence(known, now_s)}"


def record_loss(
    context: contexts.RequestContext, server_id: str, may_be_crash: bool
) -> None:
    """Record that a server lost a request.

    The other routers are told once the server is known not to have survived it.

    Parameters
    ----------
    context : contexts.RequestContext
        The request.
    server_id : str
        The server.
    may_be_crash : bool
        Whether the connection ended as it does when the server's process ends.
    """
    forwarder, now_s = context.forwarder, clocks.boottime_s()
    request = context.fingerprint
    counts = forwarder.crashes
    loss = crash_counts.record_unverified(counts, request, server_id, now_s)
    loss_checks.begin(context, server_id, loss)
    part_ids = shared_part_ids(context.metadata.prompt)
    if not may_be_crash or context.has_progressed or not part_ids:
        return
    crash = crashing_parts.Crash(server_id, now_s)
    state = forwarder.suspect_parts
    request_key = _make_request_key(request, context.metadata.prompt)
    changed = crashing_parts.record_loss(
        state, context.service_name, part_ids, request_key, crash
    )
    forwarder.metrics.crash_evidence.labels(context.service_name, "loss").inc()
    forwarder.report_evidence(changed)
    update_blocked(forwarder)


def _make_request_key(fingerprint: int, prompt: header_codec.Prompt) -> int:
    """Return a hash that differs for requests that are equal but for their prompts."""
    part_ids = ",".join(part.part_id for part in prompt.parts)
    return xxhash.xxh64_intdigest(f"{fingerprint},{part_ids}".encode())


def record_completion(context: contexts.RequestContext, is_framed: bool) -> None:
    """Record that a server responded completely to a request.

    Parameters
    ----------
    context : contexts.RequestContext
        The request.
    is_framed : bool
        Whether a length or chunks show that the response is whole; otherwise the
        server's process may have ended between two events.
    """
    forwarder = context.forwarder
    cleared_count = crash_counts.clear(
        forwarder.crashes, context.fingerprint, clocks.boottime_s()
    )
    if cleared_count >= MIN_TOLD_LOSSES_COUNT:
        forwarder.report_completed(context.fingerprint)
    if is_framed:
        _record_progress(context)


def record_event(context: contexts.RequestContext) -> None:
    """Record an event of a stream, which shows in time that its prompt is sound."""
    now_s = time.monotonic()
    if context.events_began_s is None:
        context.events_began_s = now_s
    has_lasted = now_s - context.events_began_s >= PROGRESS_AFTER_S
    if has_lasted and not context.has_progressed:
        _record_progress(context)


def _record_progress(context: contexts.RequestContext) -> None:
    forwarder, name = context.forwarder, context.service_name
    context.has_progressed = True
    crash_counts.record_progress(forwarder.crashes, context.fingerprint)
    part_ids = shared_part_ids(context.metadata.prompt)
    suspects = crashing_parts.record_progress(
        forwarder.suspect_parts, name, part_ids, clocks.boottime_s()
    )
    if suspects:
        forwarder.metrics.crash_evidence.labels(name, "progress").inc()
        forwarder.report_evidence(suspects)
        update_blocked(forwarder)


def is_suspect(context: contexts.RequestContext) -> bool:
    """Return whether a lost request should wait for the reports of other routers."""
    part_ids = shared_part_ids(context.metadata.prompt)
    return crashing_parts.is_suspect(
        context.forwarder.suspect_parts, context.service_name, part_ids
    )


def apply_evidence(
    forwarder: contexts.Forwarder, message: messages.CrashEvidence
) -> None:
    """Merge evidence that a replica has passed on."""
    state, now_s = forwarder.suspect_parts, clocks.boottime_s()
    changed = evidence.merge(state, message, now_s)
    if not changed:
        return
    name = changed[0][0]
    forwarder.metrics.crash_evidence.labels(name, "reported").inc(len(changed))
    cleared = [key for key in changed if crashing_parts.add_own_progress(state, key)]
    # A part that an operator has released is known to one replica only.
    released = update_blocked(forwarder).released
    forwarder.report_evidence([*cleared, *released])


def remove_expired(forwarder: contexts.Forwarder) -> None:
    """Forget old evidence, and release the parts that it blocked."""
    state = forwarder.suspect_parts
    if state.evidence:
        crashing_parts.remove_expired(state, clocks.boottime_s())
        update_blocked(forwarder)


def update_blocked(forwarder: contexts.Forwarder) -> crashing_parts.Change:
    """Decide anew which parts are blocked, and log and return what has changed."""
    state = forwarder.suspect_parts
    change = crashing_parts.update_blocked(state)
    log_change(state, change)
    for outcome, keys in (("blocked", change.blocked), ("released", change.released)):
        for name, _ in keys:
            forwarder.metrics.crash_evidence.labels(name, outcome).inc()
    forwarder.metrics.blocked_parts.set(len(state.blocked))
    return change


def log_change(
    state: crashing_parts.CrashingParts, change: crashing_parts.Change
) -> None:
    """Log the parts that are newly blocked or released, with their evidence."""
    _log_parts("prompt part blocked", state, change.blocked)
    _log_parts("prompt part released", state, change.released)


def _log_parts(
    message: str,
    state: crashing_parts.CrashingParts,
    keys: Iterable[crashing_parts.PartKey],
) -> None:
    now_s = clocks.boottime_s()
    for key in keys:
        known = state.evidence.get(key)
        detail = "no evidence left"
        if known is not None:
            detail = describe_evidence(known, now_s)
        logs.warning(message, logs.Fields(detail=f"{key[1]} at {key[0]}: {detail}"))


def describe_evidence(known: crashing_parts.Evidence, now_s: float) -> str:
    """Return the crashes that speak against a part, and what cleared it."""
    crashes = [
        f"{crash.server_id} {now_s - crash.at_s:.2f} s ago"
        for crash in crashing_parts.crashes_since_progress(known)
    ]
    progress = "never"
    if known.cleared_at_s > float("-inf"):
        progress = f"{now_s - known.cleared_at_s:.2f} s ago"
    return f"crashes: {', '.join(crashes) or 'none'}; last progress {progress}"
