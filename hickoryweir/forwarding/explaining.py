"""Where a request would go now and why, without sending it or changing any state.

The functions of the request path decide, on a copy of the state that they change.

A question lacks some of what decides about a request: the body, which identifies
repeated requests that crash servers and counts towards the bytes held, and the ids of a
stream that is resumed.  Whether an account's prompt beyond its share is admitted
depends on a draw that differs between requests; the explanation shows one draw.
"""

import copy
import dataclasses
import math
import random
import time
from collections.abc import Mapping

from returns import result

from hickoryweir import clocks
from hickoryweir.discovery import listing
from hickoryweir.forwarding import (
    account_sharing,
    admission,
    contexts,
    crashes,
    errors,
    explanations,
    forwarder,
    header_codec,
    held_bytes,
    memory_room,
    open_requests,
    relaying,
    requests,
    resumption,
    room,
    router_load,
    server_pool,
    server_selection,
)
from hickoryweir.forwarding_policy import (
    crashing_parts,
    prompt_placement,
    rejection_limits,
    server_limits,
    server_notices,
)
from hickoryweir.observability import forwarding_metrics
from hickoryweir.routes import matching, model

HOST_FIELD = "host"
PATH_FIELD = "path"
ACCOUNT_FIELD = "account"
TOKENS_FIELD = "tokens"
PARTS_FIELD = "parts"
REQUEST_ID_FIELD = "request_id"
TRIED_FIELD = "tried"
VERSION_FIELD = "software_version"
FIELDS = frozenset(
    {
        HOST_FIELD,
        PATH_FIELD,
        ACCOUNT_FIELD,
        TOKENS_FIELD,
        PARTS_FIELD,
        REQUEST_ID_FIELD,
        TRIED_FIELD,
        VERSION_FIELD,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A request to explain.

    Attributes
    ----------
    prompt : header_codec.Prompt or None
        The prompt that it describes.
    request_id : str
        Its id, which decides between equal servers.
    tried_server_ids : frozenset of str
        Servers that it was sent to before.
    software_version : str or None
        Version that its stream is bound to; None if any may begin it.
    """

    host: str
    path: str
    account_name: str = ""
    prompt: header_codec.Prompt | None = None
    request_id: str = ""
    tried_server_ids: frozenset[str] = frozenset()
    software_version: str | None = None


def parse_question(
    fields: Mapping[str, str],
) -> result.Result[Question, explanations.Problem]:
    """Return the question in the query of a URL, or what is wrong with it.

    Examples
    --------
    >>> found = {"host": "h", "path": "/p", "tokens": "30,5", "parts": "a:20,b:10"}
    >>> parse_question(found).unwrap().prompt.parts[1]
    PromptPart(part_id='b', tokens_count=10)
    >>> parse_question({"host": "h"}).failure().error
    'host and path are required'
    >>> parse_question({"host": "h", "path": "/p", "tokens": "x"}).failure().error
    'tokens must be INPUT,OUTPUT'
    >>> parse_question({"host": "h", "path": "/p", "color": "x"}).failure().error
    'unknown field color'
    """
    unknown = sorted(set(fields) - FIELDS)
    if unknown:
        return _fail(f"unknown field {unknown[0][:40]}")
    host, path = fields.get(HOST_FIELD, ""), fields.get(PATH_FIELD, "")
    if not host or not path:
        return _fail("host and path are required")
    tokens, parts_text = fields.get(TOKENS_FIELD, ""), fields.get(PARTS_FIELD, "")
    prompt = None
    if tokens or parts_text:
        counts = tokens.split(",")
        if len(counts) != 2 or not all(_is_number(text) for text in counts):
            return _fail("tokens must be INPUT,OUTPUT")
        parts = []
        for entry in parts_text.split(",") if parts_text else ():
            part_id, _, part_tokens = entry.rpartition(":")
            if not part_id or not _is_number(part_tokens):
                return _fail("parts must be ID:TOKENS,...")
            parts.append(header_codec.PromptPart(part_id, int(part_tokens)))
        prompt = header_codec.Prompt("", int(counts[0]), int(counts[1]), tuple(parts))
    tried = frozenset(filter(None, fields.get(TRIED_FIELD, "").split(",")))
    return result.Success(
        Question(
            host,
            path,
            fields.get(ACCOUNT_FIELD, ""),
            prompt,
            fields.get(REQUEST_ID_FIELD, ""),
            tried,
            fields.get(VERSION_FIELD),
        )
    )


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()


def _fail(text: str) -> result.Result[Question, explanations.Problem]:
    return result.Failure(explanations.Problem(text))


def explain(
    state: contexts.Forwarder, question: Question
) -> result.Result[explanations.Explanation, explanations.Problem]:
    """Return where a request would go now and why, or why there is no answer.

    Parameters
    ----------
    state : contexts.Forwarder
        State of the router, which is not changed.
    question : Question
        The request.
    """
    index = state.route_index
    if index is None or not state.started.is_set():
        return _no_answer("the router has no table or no list of servers yet")
    path = requests.path_of(question.path)
    if path is None:
        return _no_answer("the path must begin with a slash")
    host = question.host.partition(":")[0]
    route = matching.find_route(index, host, path)
    if route is None:
        return _no_answer(f"no route for host {host} and path {path}")
    account = None
    if question.account_name:
        by_name = {item.name: item for item in index.table.accounts}
        account = by_name.get(question.account_name)
        if account is None:
            return _no_answer(f"no account {question.account_name} in the table")
    context = _make_context(state, question, route, account)
    return result.Success(_explain(context, question))


def _no_answer(text: str) -> result.Result:
    return result.Failure(explanations.Problem(text))


def _make_context(
    state: contexts.Forwarder,
    question: Question,
    route: model.Route,
    account: model.ClientAccount | None,
) -> contexts.RequestContext:
    """Return the context of the request, with a copy of the router's state."""
    generator = random.Random()
    generator.setstate(state.generator.getstate())
    service_name = matching.choose_service(route, generator)
    now_s = clocks.boottime_s()
    return contexts.RequestContext(
        forwarder=_copy_state(state, service_name, generator),
        client_request=None,
        metadata=header_codec.RequestMetadata(
            question.request_id, None, "", "", question.prompt
        ),
        route=route,
        service_name=service_name,
        account=account,
        body=b"",
        fingerprint=0,
        started_s=now_s,
        deadline_s=now_s + route.timeout_s,
        tried_server_ids=set(question.tried_server_ids),
        stream_version=question.software_version,
        sent_count=len(question.tried_server_ids),
        max_attempts_count=route.max_attempts_count,
    )


def _copy_state(
    state: contexts.Forwarder, service_name: str, generator: random.Random
) -> contexts.Forwarder:
    """Return the state with copies of all that the request path changes."""
    return dataclasses.replace(
        state,
        generator=generator,
        pool=_copy_pool(state.pool, service_name),
        metrics=forwarding_metrics.make_metrics(),
        wait_bounds=dict(state.wait_bounds),
        sensitive_routes=dict(state.sensitive_routes),
        quiet_sets=dict(state.quiet_sets),
        stream_lifetimes_s=dict(state.stream_lifetimes_s),
        request_sizes=dict(state.request_sizes),
        yielding=copy.deepcopy(state.yielding),
        known_streams=dataclasses.replace(
            state.known_streams, listed_at_s=dict(state.known_streams.listed_at_s)
        ),
        sharing=_copy_sharing(state.sharing, service_name),
    )


def _copy_pool(pool: server_pool.Pool, service_name: str) -> server_pool.Pool:
    """Return the pool with copies of the grants, since the request path drops some."""
    views = [
        dataclasses.replace(view, grants=copy.deepcopy(view.grants))
        if server_notices.is_limited(view.notices)
        else view
        for view in pool.by_service.get(service_name, ())
    ]
    return dataclasses.replace(pool, by_service={service_name: views})


def _copy_sharing(sharing: contexts.Sharing, service_name: str) -> contexts.Sharing:
    ledgers = {}
    if service_name in sharing.ledgers:
        ledgers[service_name] = copy.deepcopy(sharing.ledgers[service_name])
    return contexts.Sharing(
        ledgers,
        dict(sharing.sums),
        dict(sharing.shares),
        dict(sharing.corrections),
        set(sharing.metric_accounts),
    )


def _explain(
    context: contexts.RequestContext, question: Question
) -> explanations.Explanation:
    state, name, route = context.forwarder, context.service_name, context.route
    memory_room.record_size(context)
    candidates = server_selection.find_candidates(context)
    placement = server_selection.place(context, candidates)
    context.placement = placement
    share = _find_share(context)
    found = _find_admission(context, placement)
    chosen_id = None
    if found.verdict is explanations.Verdict.SENT:
        chosen_id = placement.server_id
    return explanations.Explanation(
        table_version=state.route_index.table.version,
        route=explanations.Route(
            route.name,
            route.host,
            route.path_prefix,
            route.priority,
            route.target_latency_s,
            route.timeout_s,
            {item.service_name: float(item.weight) for item in route.destinations},
        ),
        service_name=name,
        urgency=server_selection.urgency_of(context),
        admission=found,
        share=share,
        servers=_find_servers(context, candidates, placement, chosen_id),
        left_out=_find_left_out(context, candidates),
        ages=_find_ages(state, name),
        chosen_server_id=chosen_id,
    )


def _find_share(context: contexts.RequestContext) -> explanations.Share | None:
    """Return how the request stands to its account's share, if shares are in force."""
    verdict = account_sharing.decide(context)
    if not verdict.source:
        return None
    return explanations.Share(
        verdict.account,
        verdict.position,
        verdict.factor,
        _finite(verdict.share),
        verdict.demand,
        verdict.age_s,
        verdict.source,
    )


def _finite(number: float) -> float | None:
    return number if math.isfinite(number) else None


def _find_admission(
    context: contexts.RequestContext, placement: prompt_placement.Placement | None
) -> explanations.Admission:
    """Return what becomes of the request, in the order in which a router decides."""
    refusal = _find_early_refusal(context)
    if refusal is not None:
        return refusal
    if not forwarder.can_end(context):
        after_s = forwarder.STOPPING_RETRY_AFTER_S
        return _refuse(errors.Reason.STOPPING, after_s)
    if relaying.is_needed(context):
        relay = relaying.choose(context)
        if relay is not None:
            return explanations.Admission(
                explanations.Verdict.RELAYED,
                detail=f"through the router at {relay.router.host}",
            )
    if room.must_wait(context) or placement is None:
        return _find_wait(context)
    if context.metadata.prompt is None:
        return explanations.Admission(explanations.Verdict.SENT)
    return _find_prompt_admission(context, placement)


def _find_wait(context: contexts.RequestContext) -> explanations.Admission:
    """Return whether a request without a server waits for one, or is refused."""
    waiting = context.forwarder.waiting.get(context.service_name)
    count = 0 if waiting is None else len(waiting.urgencies)
    if room.may_wait(context) and count < rejection_limits.MAX_WAITING_COUNT:
        up_to_s = rejection_limits.MAX_WAIT_SHARE * context.route.target_latency_s
        return explanations.Admission(
            explanations.Verdict.WAITS,
            detail=f"up to {up_to_s:.2f} s for a server with room, "
            f"{count} other requests wait",
        )
    reason = forwarder.find_refusal(context, errors.Reason.NO_SERVER)
    after_s = context.retry_after_s or forwarder.UNREACHABLE_RETRY_AFTER_S
    return _refuse(reason, after_s)


def _find_prompt_admission(
    context: contexts.RequestContext, placement: prompt_placement.Placement
) -> explanations.Admission:
    """Return whether a prompt is sent to its server, or refused as overload."""
    wait_s = server_selection.predict_wait_s(context, placement)
    limit_s = _finite(server_selection.max_wait_s(context))
    after_s = None
    # Only the first attempt of a request is refused as overload.
    if not context.sent_count:
        after_s = server_selection.overload_retry_after_s(context, placement)
    if after_s is None:
        return explanations.Admission(
            explanations.Verdict.SENT, predicted_wait_s=wait_s, limit_s=limit_s
        )
    return explanations.Admission(
        explanations.Verdict.REFUSED,
        errors.Reason.OVERLOADED.value,
        after_s,
        wait_s,
        limit_s,
        f"the least wait is at {placement.server_id}",
    )


def _refuse(
    reason: errors.Reason, retry_after_s: float | None, detail: str = ""
) -> explanations.Admission:
    return explanations.Admission(
        explanations.Verdict.REFUSED,
        reason.value,
        retry_after_s,
        detail=detail,
    )


def _find_early_refusal(
    context: contexts.RequestContext,
) -> explanations.Admission | None:
    """Return the refusal before any server is looked for; None if there is none."""
    state, route, account = context.forwarder, context.route, context.account
    if account is None and admission.requires_account(state.route_index, route):
        return _refuse(errors.Reason.KEY_UNKNOWN, None, "the route requires an account")
    opened = open_requests.OpenRequest()
    reason = held_bytes.find_refusal(state, opened, route, account, 0)
    if reason is not None:
        detail = held_bytes.describe(state, opened.held.account_name)
        return _refuse(reason, forwarder.RETRY_AFTERS_S.get(reason), detail)
    shortage = router_load.find_refusal(state, opened, route, account, route.timeout_s)
    if shortage is not None:
        return _refuse(
            errors.Reason.ROUTER_FULL, router_load.RETRY_AFTER_S, detail=shortage
        )
    part_id = _find_blocked(context)
    if part_id is not None:
        reason = errors.Reason.CRASHES_SERVERS
        after_s = forwarder.RETRY_AFTERS_S[reason]
        return _refuse(reason, after_s, f"part {part_id} is blocked")
    return None


def _find_blocked(context: contexts.RequestContext) -> str | None:
    """Return the blocked part of the prompt, unless a trial would let it through."""
    state, name = context.forwarder.suspect_parts, context.service_name
    part_ids = crashes.shared_part_ids(context.metadata.prompt)
    part_id = crashing_parts.find_blocked(state, name, part_ids)
    if part_id is None or not state.trials:
        return part_id
    copied = copy.deepcopy(state)
    if crashing_parts.use_trial(copied, name, part_ids, clocks.boottime_s()):
        return None
    return part_id


def _find_servers(
    context: contexts.RequestContext,
    candidates: list[prompt_placement.Candidate],
    placement: prompt_placement.Placement | None,
    chosen_id: str | None,
) -> tuple[explanations.Server, ...]:
    """Return the servers that are considered, those with the lowest cost first."""
    costs_s = {}
    if placement is not None and context.metadata.prompt is not None:
        if context.metadata.prompt.parts:
            costs_s[placement.server_id] = placement.cost_s
        costs_s |= {item.server_id: item.cost_s for item in placement.compared}
    views = _views_by_id(context)
    avoided_ids = _find_avoided(context, candidates)
    now_s = clocks.boottime_s()
    servers = [
        explanations.Server(
            server_id=item.server_id,
            availability_zone=views[item.server_id].listed.availability_zone,
            is_chosen=item.server_id == chosen_id,
            cost_s=costs_s.get(item.server_id),
            slowness=item.slowness,
            requests_count=item.requests_count,
            slots_count=views[item.server_id].listed.slots_count,
            is_full=item.is_full,
            backlog_tokens_count=item.backlog_tokens_count,
            cached_tokens_count=item.cached_tokens_count,
            announced_age_s=_finite(now_s - views[item.server_id].announced_at_s),
        )
        for item in candidates
        if item.server_id not in avoided_ids
    ]
    return tuple(
        sorted(
            servers,
            key=lambda item: (
                not item.is_chosen,
                math.inf if item.cost_s is None else item.cost_s,
                item.requests_count,
                item.server_id,
            ),
        )
    )


def _views_by_id(
    context: contexts.RequestContext,
) -> dict[str, server_pool.ServerView]:
    views = context.forwarder.pool.by_service.get(context.service_name, ())
    return {view.listed.server_id: view for view in views}


def _find_avoided(
    context: contexts.RequestContext, candidates: list[prompt_placement.Candidate]
) -> set[str]:
    """Return the candidates that have no room, or that others are preferred to."""
    prompt = context.metadata.prompt
    has_parts = prompt is not None and bool(prompt.parts)
    compared = [item for item in candidates if has_parts or item.has_room]
    has_healthy = any(not item.is_suspect for item in compared)
    return {
        item.server_id
        for item in candidates
        if not item.has_room or (has_healthy and item.is_suspect)
    }


def _find_left_out(
    context: contexts.RequestContext, candidates: list[prompt_placement.Candidate]
) -> tuple[explanations.LeftOutServer, ...]:
    """Return the servers that are not considered, each with the first reason."""
    state, name = context.forwarder, context.service_name
    available_ids = _ids(server_pool.available_servers(state.pool, name))
    eligible_ids = _ids(resumption.eligible_servers(context))
    by_id = {item.server_id: item for item in candidates}
    avoided_ids = _find_avoided(context, candidates)
    found = []
    for server_id, view in sorted(_views_by_id(context).items()):
        if server_id not in available_ids:
            reason, detail = _find_unavailability(view)
        elif server_id not in eligible_ids:
            reason = explanations.LeftOut.OTHER_VERSION
            detail = f"runs {view.listed.software_version or 'an unknown version'}"
        elif server_id in context.tried_server_ids:
            reason, detail = explanations.LeftOut.TRIED, ""
        elif server_id not in by_id:
            reason, detail = explanations.LeftOut.LIMIT_YIELDED, ""
        elif server_id in avoided_ids:
            reason, detail = _find_avoidance(context, view, by_id[server_id])
        else:
            continue
        zone = view.listed.availability_zone
        found.append(explanations.LeftOutServer(server_id, zone, reason, detail))
    return tuple(found)


def _ids(views: list[server_pool.ServerView]) -> set[str]:
    return {view.listed.server_id for view in views}


def _find_unavailability(
    view: server_pool.ServerView,
) -> tuple[explanations.LeftOut, str]:
    """Return why a server accepts no new requests."""
    reasons, notices, now_s = explanations.LeftOut, view.notices, clocks.boottime_s()
    if view.listed.state is not listing.ServerState.READY:
        return reasons.NOT_READY, f"the list says {view.listed.state.value}"
    if view.is_misdirected:
        return reasons.OTHER_INCARNATION, ""
    if notices.leaving_since_s is not None:
        return reasons.LEAVING, ""
    if server_notices.is_paused(notices, now_s):
        left_s = server_notices.accepts_after_s(notices, now_s)
        return reasons.PAUSED, f"for {left_s:.1f} s more"
    if server_notices.is_limited(notices) and not server_limits.has_grant(
        view.grants, now_s
    ):
        return reasons.LIMITED, f"{notices.limit_per_s:g} requests/s, no grant left"
    if server_notices.is_returning(notices, now_s):
        return reasons.RETURNING, "its first requests are not answered yet"
    return reasons.NO_SLOT, "this router's share of a server that bears few rejections"


def _find_avoidance(
    context: contexts.RequestContext,
    view: server_pool.ServerView,
    candidate: prompt_placement.Candidate,
) -> tuple[explanations.LeftOut, str]:
    """Return why an available server is not compared with others."""
    reasons, now_s = explanations.LeftOut, time.monotonic()
    if view.is_unreachable:
        return reasons.UNREACHABLE, f"{view.probes_count} probes failed"
    if view.suspect_until_s > now_s:
        left_s = view.suspect_until_s - now_s
        return reasons.SUSPECT, f"failed, avoided for {left_s:.1f} s more"
    if candidate.is_suspect:
        return reasons.OUTLIER, ""
    wanted = memory_room.tokens_count(context)
    capacity = context.forwarder.pool.memory_tokens_counts[context.service_name]
    own = server_pool.own_memory_tokens_count(view)
    others = view.memory.others_tokens_count
    return (
        reasons.NO_ROOM,
        f"{wanted} tokens wanted, {own} own and {others} others' of {capacity} in use",
    )


def _find_ages(state: contexts.Forwarder, service_name: str) -> explanations.Ages:
    views, now_s = state.pool.by_service.get(service_name, ()), time.monotonic()
    loads_at_s = min((view.others_updated_s for view in views), default=-math.inf)
    memory_at_s = min((view.memory.summed_at_s for view in views), default=-math.inf)
    return explanations.Ages(
        clocks.boottime_s() - state.list_read_at_s,
        _finite(now_s - loads_at_s),
        _finite(now_s - memory_at_s),
    )
