"""Questionnaire answers, from which a configuration is generated.

An answers file has a ``[team]`` section and named sections for the kinds of
requests, models, services, backend servers, accounts and provider stages.
:mod:`hickoryweir.configuration.questions` has the question behind each key.
"""

import dataclasses
import re
from typing import Annotated

import pydantic
from returns import result

from hickoryweir.configuration import fields, inifile, model, problems

AnswersError = problems.InvalidInput


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReference:
    """Reference to the model or service that answers a kind of request."""

    target: model.Target
    name: str


def _parse_target_reference(value):
    if not isinstance(value, str):
        return value
    kind, _, name = value.partition(" ")
    if not fields.NAME_PATTERN.fullmatch(name.strip()):
        raise ValueError(f"is {value!r}")
    return TargetReference(model.Target(kind), name.strip())


def _parse_stages(value):
    if not isinstance(value, str):
        return value
    stages = [fields.split(stage) for stage in value.split("|")]
    return tuple(tuple(tuple(part.split()) for part in stage) for stage in stages)


Percent = Annotated[
    float, pydantic.Field(ge=0, le=100, description="a percentage, 0 to 100")
]
Text = Annotated[str, pydantic.Field(description="text on one line")]
AnsweredBy = Annotated[
    TargetReference,
    pydantic.BeforeValidator(_parse_target_reference),
    pydantic.Field(description="model NAME or service NAME"),
]
OptionalSeconds = Annotated[
    fields.Seconds | None, pydantic.Field(description="seconds, above 0, or left out")
]
OptionalCount = Annotated[
    fields.CountOrZero | None,
    pydantic.Field(description="a whole number, 0 or more, or left out"),
]
TargetKind = Annotated[model.Target, pydantic.Field(description="model or service")]
Path = Annotated[
    str,
    pydantic.Field(
        pattern=re.compile(r"^(/\S*)?$"), description="a path such as /runs, or nothing"
    ),
]
Stages = Annotated[
    tuple[tuple[tuple[fields.Name, Percent], ...], ...],
    pydantic.BeforeValidator(_parse_stages),
    pydantic.Field(
        min_length=1,
        description="percentages by provider, stages separated by |, such as "
        "old 100 | old 90, new 10 | new 100",
    ),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """Answers that apply to the whole deployment."""

    name: fields.Name
    availability_zones: fields.NonEmptyNames
    entry_vms: fields.Count
    callers_resend_within_hours: fields.Rate
    weight_store_mb_per_s: fields.Rate


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A kind of request."""

    name: fields.Name
    purpose: Text
    answered_by: AnsweredBy
    may_run_twice: fields.Flag
    whole_answer_within_s: fields.Seconds
    gives_up_after_s: fields.Seconds
    met_for_percent: Percent
    never_below_percent: Percent
    more_urgent_than: fields.Names = ()
    first_token_within_s: OptionalSeconds = None
    between_tokens_within_s: OptionalSeconds = None
    usual_question_tokens: fields.CountOrZero = 0
    usual_answer_tokens: OptionalCount = None
    longest_answer_tokens: fields.CountOrZero = 0
    retry: fields.Flag = False
    race_a_second_copy: fields.Flag = False


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that engines serve."""

    name: fields.Name
    version: fields.Name
    weights_size_mb: fields.Count
    adapters: fields.Names = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service."""

    name: fields.Name
    lookup_path: Path = ""
    largest_kept_answer_bytes: fields.CountOrZero = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A model engine or an instance of a plain service."""

    name: fields.Name
    runs: TargetKind
    serves: fields.NonEmptyNames
    url: fields.Url
    availability_zone: fields.Name
    provider: fields.Name
    calls_at_once: fields.Count
    checks_order_numbers: fields.Flag
    tokens_per_s: fields.RateOrZero = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account."""

    name: fields.Name
    key_sha256: fields.Digests
    requests: fields.NonEmptyNames
    calls_per_s: fields.Rate
    tokens_per_s: fields.Rate
    weight: fields.Rate = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProviderStages:
    """The stages in which a kind of request moves between providers."""

    name: fields.Name
    stages: Stages
    current_stage: fields.Count


@dataclasses.dataclass(frozen=True, slots=True)
class Answers:
    """A complete answers file."""

    file: str
    team: Team
    requests: tuple[Request, ...]
    models: tuple[Model, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]
    accounts: tuple[Account, ...]
    providers: tuple[ProviderStages, ...]


SECTIONS: dict[str, type] = {
    "request": Request,
    "model": Model,
    "service": Service,
    "backend-server": BackendServer,
    "account": Account,
    "providers": ProviderStages,
}

LAYOUT = inifile.Layout(
    single={"team": inifile.make_schema(Team)},
    named={kind: inifile.make_schema(cls) for kind, cls in SECTIONS.items()},
)


def parse(text: str, file: str) -> result.Result[Answers, AnswersError]:
    """Return the answers in a text, or every problem in it.

    Parameters
    ----------
    text : str
        INI text of an answers file.
    file : str
        File name for error messages.

    Returns
    -------
    Result of Answers or AnswersError
        Keys are checked one by one; contradictions between answers are found
        by :func:`hickoryweir.configuration.generator.generate`.
    """
    return inifile.load(text, file, LAYOUT).map(
        lambda content: Answers(
            file=file,
            team=content.single["team"],
            requests=content.named["request"],
            models=content.named["model"],
            services=content.named["service"],
            backend_servers=content.named["backend-server"],
            accounts=content.named["account"],
            providers=content.named["providers"],
        )
    )
