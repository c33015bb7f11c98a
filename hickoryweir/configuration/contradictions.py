"""Contradictions between questionnaire answers."""

from collections.abc import Iterator

from hickoryweir.configuration import model, problems, questionnaire, tiers

MAX_TIER_COUNT = 6
WHOLE_PERCENT = 100.0
TOLERANCE_PERCENT = 1e-6


def find(answers: questionnaire.Answers) -> tuple[problems.Problem, ...]:
    """Return every contradiction.

    Parameters
    ----------
    answers : questionnaire.Answers
        Answers whose keys are each valid.

    Returns
    -------
    tuple of problems.Problem
        Section and key are those of one of the answers concerned.
    """
    checks = (
        _check_references,
        _check_tiers,
        _check_floor_shares,
        _check_idempotence,
        _check_latency_targets,
        _check_keys,
        _check_urls,
        _check_stages,
    )
    return tuple(problem for check in checks for problem in check(answers))


def _problem(answers, section, key, message, expected):
    return problems.Problem(answers.file, section, key, message, expected)


def _find_undefined(answers, section, key, names, known):
    for name in names:
        if name not in known:
            choice = ", ".join(sorted(known)) or "a name that has a section"
            yield _problem(
                answers, section, key, f"names {name!r}, which isn't defined", choice
            )


def _check_references(answers) -> Iterator[problems.Problem]:
    requests = {each.name for each in answers.requests}
    targets = {
        model.Target.MODEL: {each.name for each in answers.models},
        model.Target.SERVICE: {each.name for each in answers.services},
    }
    for each in answers.requests:
        section = f"request {each.name}"
        reference = each.answered_by
        known = targets[reference.target]
        yield from _find_undefined(
            answers, section, "answered_by", (reference.name,), known
        )
        urgent = each.more_urgent_than
        yield from _find_undefined(
            answers, section, "more_urgent_than", urgent, requests
        )
    for each in answers.accounts:
        section = f"account {each.name}"
        yield from _find_undefined(
            answers, section, "requests", each.requests, requests
        )
    for each in answers.backend_servers:
        section = f"backend-server {each.name}"
        known = targets[each.runs]
        yield from _find_undefined(answers, section, "serves", each.serves, known)
        zones = answers.team.availability_zones
        zone = (each.availability_zone,)
        yield from _find_undefined(answers, section, "availability_zone", zone, zones)


def _check_tiers(answers):
    cycle = tiers.find_cycle(answers.requests)
    if cycle:
        yield _problem(
            answers,
            f"request {cycle[0]}",
            "more_urgent_than",
            "forms a cycle: " + " > ".join(cycle),
            "an order without cycles",
        )
        return
    tier_count = max(tiers.assign(answers.requests).values(), default=0) + 1
    if tier_count > MAX_TIER_COUNT:
        yield _problem(
            answers,
            "request",
            "more_urgent_than",
            f"results in {tier_count} tiers",
            f"at most {MAX_TIER_COUNT} tiers",
        )


def _check_floor_shares(answers):
    sums: dict[questionnaire.TargetReference, float] = {}
    for each in answers.requests:
        floor = sums.get(each.answered_by, 0.0) + each.never_below_percent
        sums[each.answered_by] = floor
    for reference, total in sums.items():
        if total > WHOLE_PERCENT + TOLERANCE_PERCENT:
            names = [r.name for r in answers.requests if r.answered_by == reference]
            yield _problem(
                answers,
                f"request {names[-1]}",
                "never_below_percent",
                f"adds up to {total:g}% over {', '.join(names)}",
                f"at most 100% over requests to {reference.target} {reference.name}",
            )


def _check_idempotence(answers):
    for each in answers.requests:
        for key in ("retry", "race_a_second_copy"):
            if getattr(each, key) and not each.may_run_twice:
                yield _problem(
                    answers,
                    f"request {each.name}",
                    key,
                    "is yes for requests that may not run twice",
                    "no, or may_run_twice = yes",
                )


def _check_latency_targets(answers):
    for each in answers.requests:
        servers = [
            server
            for server in answers.backend_servers
            if server.runs == each.answered_by.target
            and each.answered_by.name in server.serves
        ]
        section = f"request {each.name}"
        if not servers:
            yield _problem(
                answers,
                section,
                "answered_by",
                "no backend server serves this target",
                "a [backend-server NAME] that serves " + each.answered_by.name,
            )
            continue
        if each.whole_answer_within_s > each.gives_up_after_s:
            yield _problem(
                answers,
                section,
                "gives_up_after_s",
                f"is {each.gives_up_after_s:g}, before whole_answer_within_s",
                f"at least {each.whole_answer_within_s:g}",
            )
        if each.answered_by.target is model.Target.MODEL:
            yield from _check_engine_targets(answers, each, section, servers)


def _check_engine_targets(answers, request, section, servers):
    max_tokens_per_s = max(server.tokens_per_s for server in servers)
    if max_tokens_per_s <= 0:
        first_server = servers[0]
        yield _problem(
            answers,
            f"backend-server {first_server.name}",
            "tokens_per_s",
            "is 0 for an engine",
            "the decode speed of one sequence in an idle engine",
        )
        return
    min_between_tokens_s = 1.0 / max_tokens_per_s
    target_s = request.between_tokens_within_s
    if target_s is not None and target_s < min_between_tokens_s:
        yield _problem(
            answers,
            section,
            "between_tokens_within_s",
            f"is {target_s:g}, which no engine can meet",
            f"at least {min_between_tokens_s:.3g} "
            f"(the fastest engine: {max_tokens_per_s:g} tokens/s)",
        )
    first_s = request.first_token_within_s or 0.0
    min_answer_s = (request.usual_answer_tokens or 0) * min_between_tokens_s
    if max(min_answer_s, first_s) > request.whole_answer_within_s:
        tokens = request.usual_answer_tokens
        yield _problem(
            answers,
            section,
            "whole_answer_within_s",
            f"is {request.whole_answer_within_s:g}, which no engine can meet",
            f"at least {max(min_answer_s, first_s):.3g} "
            f"(first token within {first_s:g} s, "
            f"{tokens or 0} tokens at {max_tokens_per_s:g} tokens/s)",
        )


def _check_keys(answers):
    owners: dict[str, str] = {}
    for each in answers.accounts:
        for digest in each.key_sha256:
            owner = owners.setdefault(digest, each.name)
            if owner != each.name:
                yield _problem(
                    answers,
                    f"account {each.name}",
                    "key_sha256",
                    f"contains a key of account {owner}",
                    "keys that no other account has",
                )


def _check_urls(answers):
    owners: dict[str, str] = {}
    for each in answers.backend_servers:
        owner = owners.setdefault(each.url.rstrip("/"), each.name)
        if owner != each.name:
            yield _problem(
                answers,
                f"backend-server {each.name}",
                "url",
                f"is also the URL of {owner}",
                "a URL that no other backend server has",
            )


def _check_stages(answers):
    requests = {each.name for each in answers.requests}
    known = {each.provider for each in answers.backend_servers}
    for each in answers.providers:
        section = f"providers {each.name}"
        yield from _find_undefined(answers, section, "", (each.name,), requests)
        for stage in each.stages:
            names = [provider for provider, _ in stage]
            yield from _find_undefined(answers, section, "stages", names, known)
            total = sum(percent for _, percent in stage)
            if abs(total - WHOLE_PERCENT) > TOLERANCE_PERCENT:
                yield _problem(
                    answers,
                    section,
                    "stages",
                    f"has a stage that adds up to {total:g}%",
                    "100% in each stage",
                )
        if each.current_stage > len(each.stages):
            yield _problem(
                answers,
                section,
                "current_stage",
                f"is {each.current_stage}",
                f"1 to {len(each.stages)}",
            )
