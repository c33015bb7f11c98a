"""Schema of the configuration's INI text.

Assigns a validated type to each field of the data classes of
:mod:`hickoryweir.configuration.model`, by field name.
"""

import dataclasses
from typing import Annotated

import pydantic

from hickoryweir.configuration import fields, inifile, model


def _parse_shares(value):
    if not isinstance(value, str):
        return value
    return tuple(tuple(part.split()) for part in fields.split(value))


Shares = Annotated[
    tuple[tuple[fields.Name, fields.Share], ...],
    pydantic.BeforeValidator(_parse_shares),
    pydantic.Field(description="provider and share pairs, such as old 0.9, new 0.1"),
]
Text = Annotated[str, pydantic.Field(description="text on one line")]
TargetKind = Annotated[model.Target, pydantic.Field(description="model or service")]


@dataclasses.dataclass(frozen=True, slots=True)
class General:
    """Values that apply to the whole configuration."""

    customer: fields.Name
    idempotency_retention_s: fields.Seconds
    order_rate_bytes_per_s: fields.Rate


@dataclasses.dataclass(frozen=True, slots=True)
class ProviderShares:
    """Shares of one class's traffic by provider."""

    name: fields.Name
    shares: Shares


FIELD_TYPES = {
    "name": fields.Name,
    "tier": fields.CountOrZero,
    "target": TargetKind,
    "target_name": fields.Name,
    "idempotent": fields.Flag,
    "first_token_target_s": fields.Seconds,
    "between_tokens_target_s": fields.Seconds,
    "answer_target_s": fields.Seconds,
    "deadline_s": fields.Seconds,
    "attainment_target": fields.Share,
    "floor_share": fields.Share,
    "max_queue_length": fields.Count,
    "expected_input_tokens": fields.CountOrZero,
    "expected_output_tokens": fields.CountOrZero,
    "max_output_tokens": fields.CountOrZero,
    "retries": fields.Flag,
    "hedging": fields.Flag,
    "key_digests": fields.Digests,
    "classes": fields.NonEmptyNames,
    "weight": fields.Rate,
    "max_concurrency": fields.Count,
    "rate_per_s": fields.Rate,
    "burst_calls": fields.Rate,
    "tokens_per_s": fields.RateOrZero,
    "version": fields.Name,
    "adapters": fields.Names,
    "weights_size_bytes": fields.CountOrZero,
    "lookup_path": Text,
    "max_answer_size_bytes": fields.CountOrZero,
    "url": fields.Url,
    "availability_zone": fields.Name,
    "provider": fields.Name,
    "serves": fields.NonEmptyNames,
    "checks_fencing": fields.Flag,
}

LAYOUT = inifile.Layout(
    single={"configuration": inifile.make_schema(General)},
    named={
        "account": inifile.make_schema(model.Account, FIELD_TYPES),
        "backend-server": inifile.make_schema(model.BackendServer, FIELD_TYPES),
        "class": inifile.make_schema(model.RequestClass, FIELD_TYPES),
        "model": inifile.make_schema(model.Model, FIELD_TYPES),
        "providers": inifile.make_schema(ProviderShares),
        "service": inifile.make_schema(model.Service, FIELD_TYPES),
    },
)
