"""Generates a configuration from questionnaire answers, deterministically.

Values that the answers don't contain are derived here, each with a reason that
``hickoryweir generate --explain`` prints.
"""

import dataclasses
import math

from returns import result

from hickoryweir.configuration import (
    contradictions,
    model,
    problems,
    questionnaire,
    render,
    tiers,
)

GenerationError = problems.InvalidInput

# Highest load of one entry VM, as a multiple of an even share.
LOAD_IMBALANCE_FACTOR = 2.0
BURST_S = 10.0
MIN_QUEUE_LENGTH = 64
MAX_QUEUE_LENGTH = 4096
MIN_ACCOUNT_CONCURRENCY = 16
UNKNOWN_OUTPUT_LENGTH_SHARE = 0.25
PERCENT = 100.0
BYTES_PER_MB = 1_000_000
SECONDS_PER_HOUR = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Derivation:
    """A derived value and its reason."""

    section: str
    key: str
    value: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Generated:
    """A configuration and the values derived for it."""

    configuration: model.Configuration
    derivations: tuple[Derivation, ...]


def generate(
    answers: questionnaire.Answers,
) -> result.Result[model.Configuration, GenerationError]:
    """Return the configuration for the answers, or their contradictions.

    Parameters
    ----------
    answers : questionnaire.Answers
        Answers whose keys are each valid.

    Returns
    -------
    Result of Configuration or GenerationError
        Equal answers give equal configurations.

    See Also
    --------
    derive : Returns the reasons too.
    """
    return derive(answers).map(lambda generated: generated.configuration)


def generate_text(
    text: str, file: str
) -> result.Result[model.Configuration, GenerationError]:
    """Return the configuration for the text of an answers file."""
    return questionnaire.parse(text, file).bind(generate)


def derive(
    answers: questionnaire.Answers,
) -> result.Result[Generated, GenerationError]:
    """Return the configuration with the reason for each derived value."""
    found = contradictions.find(answers)
    if found:
        return result.Failure(GenerationError(found))
    derivations: list[Derivation] = []
    tier_by_name = tiers.assign(answers.requests)
    configuration = model.Configuration(
        customer=answers.team.name,
        digest="",
        classes=tuple(
            _derive_class(answers, each, tier_by_name[each.name], derivations)
            for each in answers.requests
        ),
        accounts=tuple(
            _derive_account(answers, each, derivations) for each in answers.accounts
        ),
        models=tuple(_make_model(each) for each in answers.models),
        services=tuple(_make_service(each) for each in answers.services),
        backend_servers=tuple(_make_server(each) for each in answers.backend_servers),
        provider_shares=_make_provider_shares(answers),
        idempotency_retention_s=(
            answers.team.callers_resend_within_hours * SECONDS_PER_HOUR
        ),
        order_rate_bytes_per_s=answers.team.weight_store_mb_per_s * BYTES_PER_MB,
    )
    return result.Success(
        Generated(render.canonicalize(configuration), tuple(derivations))
    )


def _derive_class(answers, request, tier, derivations):
    section = f"class {request.name}"
    tokens = _expected_output_tokens(request)
    first_s = request.first_token_within_s or request.whole_answer_within_s
    between_s = request.between_tokens_within_s or request.whole_answer_within_s
    queue_length, reason = _derive_queue_length(answers, request, tokens)
    derivations.append(_derive_tier(answers, request, section, tier))
    derivations.append(
        Derivation(section, "max_queue_length", str(queue_length), reason)
    )
    if request.usual_answer_tokens is None and request.longest_answer_tokens:
        reason = (
            f"length unknown: {UNKNOWN_OUTPUT_LENGTH_SHARE:g} of the longest, "
            "then measured"
        )
        key = "expected_output_tokens"
        derivations.append(Derivation(section, key, str(tokens), reason))
    return model.RequestClass(
        name=request.name,
        tier=tier,
        target=request.answered_by.target,
        target_name=request.answered_by.name,
        idempotent=request.may_run_twice,
        first_token_target_s=first_s,
        between_tokens_target_s=between_s,
        answer_target_s=request.whole_answer_within_s,
        deadline_s=request.gives_up_after_s,
        attainment_target=request.met_for_percent / PERCENT,
        floor_share=request.never_below_percent / PERCENT,
        max_queue_length=queue_length,
        expected_input_tokens=request.usual_question_tokens,
        expected_output_tokens=tokens,
        max_output_tokens=request.longest_answer_tokens,
        retries=request.retry,
        hedging=request.race_a_second_copy,
    )


def _derive_tier(answers, request, section, tier):
    above = [
        each.name for each in answers.requests if request.name in each.more_urgent_than
    ]
    reason = "below " + ", ".join(above) if above else "nothing is more urgent"
    return Derivation(section, "tier", str(tier), reason)


def _expected_output_tokens(request):
    if request.usual_answer_tokens is not None:
        return request.usual_answer_tokens
    return math.ceil(request.longest_answer_tokens * UNKNOWN_OUTPUT_LENGTH_SHARE)


def _derive_queue_length(answers, request, tokens):
    calls_per_s = 0.0
    for server in answers.backend_servers:
        if server.runs != request.answered_by.target:
            continue
        if request.answered_by.name not in server.serves:
            continue
        duration_s = request.whole_answer_within_s
        if server.tokens_per_s and tokens:
            duration_s = tokens / server.tokens_per_s
        calls_per_s += server.calls_at_once / duration_s
    unclamped_length = math.ceil(calls_per_s * request.gives_up_after_s)
    length = min(max(unclamped_length, MIN_QUEUE_LENGTH), MAX_QUEUE_LENGTH)
    reason = (
        f"{calls_per_s:.3g} calls/s of all servers for {request.gives_up_after_s:g} s, "
        f"limited to {MIN_QUEUE_LENGTH} to {MAX_QUEUE_LENGTH}"
    )
    return length, reason


def _derive_account(answers, account, derivations):
    section = f"account {account.name}"
    entry_vm_share = min(1.0, LOAD_IMBALANCE_FACTOR / answers.team.entry_vms)
    longest_s = max(
        each.gives_up_after_s
        for each in answers.requests
        if each.name in account.requests
    )
    rate_per_s = account.calls_per_s * entry_vm_share
    concurrency = max(math.ceil(rate_per_s * longest_s), MIN_ACCOUNT_CONCURRENCY)
    burst_calls = max(rate_per_s * BURST_S, 1.0)
    share_reason = (
        f"{entry_vm_share:.3g} of the total, "
        f"for one of {answers.team.entry_vms} entry VMs"
    )
    derivations.append(
        Derivation(section, "rate_per_s", f"{rate_per_s:.4g}", share_reason)
    )
    reason = f"rate times the longest deadline, {longest_s:g} s"
    derivations.append(Derivation(section, "max_concurrency", str(concurrency), reason))
    reason = f"rate times {BURST_S:g} s"
    derivations.append(Derivation(section, "burst_calls", f"{burst_calls:.4g}", reason))
    return model.Account(
        name=account.name,
        key_digests=account.key_sha256,
        classes=account.requests,
        weight=account.weight,
        max_concurrency=concurrency,
        rate_per_s=rate_per_s,
        burst_calls=burst_calls,
        tokens_per_s=account.tokens_per_s * entry_vm_share,
    )


def _make_model(answer):
    return model.Model(
        name=answer.name,
        version=answer.version,
        adapters=answer.adapters,
        weights_size_bytes=answer.weights_size_mb * BYTES_PER_MB,
    )


def _make_service(answer):
    return model.Service(
        name=answer.name,
        lookup_path=answer.lookup_path,
        max_answer_size_bytes=answer.largest_kept_answer_bytes,
    )


def _make_server(answer):
    return model.BackendServer(
        name=answer.name,
        target=answer.runs,
        url=answer.url,
        availability_zone=answer.availability_zone,
        provider=answer.provider,
        serves=answer.serves,
        max_concurrency=answer.calls_at_once,
        tokens_per_s=answer.tokens_per_s,
        checks_fencing=answer.checks_order_numbers,
    )


def _make_provider_shares(answers):
    return tuple(
        model.ProviderShare(each.name, provider, percent / PERCENT)
        for each in answers.providers
        for provider, percent in each.stages[each.current_stage - 1]
    )
