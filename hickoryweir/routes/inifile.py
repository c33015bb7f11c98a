"""Decoding of routing tables from INI text, the project's own format.

Examples
--------
>>> text = '''
... [table]
... version = 3
... [service app]
... [route chat]
... host = site.example
... path_prefix = /chat/
... services = app
... execution = idempotent
... timeout_s = 2
... '''
>>> decode_table(text.encode()).unwrap().routes[0].path_prefix
'/chat/'
>>> decode_table(b"[table]").failure()
'table: [table] version: missing key; expected a whole number'
"""

import dataclasses
from typing import Annotated

import pydantic
from returns import result

from hickoryweir.configuration import fields, inifile
from hickoryweir.routes import model, scaling

FILE = "table"
Version = Annotated[int, pydantic.Field(description="a whole number")]
Text = Annotated[str, pydantic.Field(description="text")]
Prefix = Annotated[
    str,
    pydantic.Field(pattern="^/", description="a path that begins and ends with /"),
]
Weights = Annotated[
    tuple[str, ...],
    pydantic.BeforeValidator(fields.split),
    pydantic.Field(
        min_length=1, description="services, each with :WEIGHT if there are several"
    ),
]
Keys = Annotated[
    tuple[str, ...],
    pydantic.BeforeValidator(fields.split),
    pydantic.Field(description="keys separated by commas"),
]
Priority = Annotated[
    int | None, pydantic.Field(ge=0, description="a whole number, 0 is most urgent")
]


SpotPrice = Annotated[
    float | None,
    pydantic.Field(
        ge=0, allow_inf_nan=False, description="a share of the zone's price"
    ),
]


def _check_price(text: str) -> str:
    name, _, price = text.rpartition(":")
    if not name:
        raise ValueError(f"is {text!r}")
    float(price)
    return text


Prices = Annotated[
    tuple[Annotated[str, pydantic.AfterValidator(_check_price)], ...],
    pydantic.BeforeValidator(fields.split),
    pydantic.Field(description="availability zones as ZONE:PRICE"),
]


@dataclasses.dataclass(frozen=True, slots=True)
class TableSection:
    """``[table]``."""

    version: Version


@dataclasses.dataclass(frozen=True, slots=True)
class RouteSection:
    """``[route NAME]``."""

    name: fields.Name
    host: Text
    path_prefix: Prefix
    services: Weights
    execution: model.Execution
    timeout_s: fields.Seconds
    is_stream: fields.Flag = False
    target_latency_s: fields.SecondsOrZero = 0.0
    target_gap_s: fields.SecondsOrZero = 0.0
    priority: fields.CountOrZero = 0
    max_attempts_count: fields.Count = 1
    allows_anonymous: fields.Flag = False
    has_prompt: fields.Flag = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSection:
    """``[service NAME]``."""

    name: fields.Name
    health_path: Text = "/health"
    max_connections_count: fields.CountOrZero = 0
    slots_count: fields.CountOrZero = 0
    cache_tokens_count: fields.CountOrZero = 0
    tokens_per_event_count: fields.CountOrZero = 0
    min_servers_count: fields.CountOrZero = 0
    max_servers_count: fields.CountOrZero = 0
    boot_s: fields.SecondsOrZero = 0.0
    spot_price: SpotPrice = None
    zone_prices: Prices = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AccountSection:
    """``[account NAME]``."""

    name: fields.Name
    keys: Keys
    priority: Priority = None
    weight: fields.Rate = 1.0


LAYOUT = inifile.Layout(
    {
        "table": inifile.make_schema(TableSection),
        "limits": inifile.make_schema(model.Limits),
    },
    {
        "route": inifile.make_schema(RouteSection),
        "service": inifile.make_schema(ServiceSection),
        "account": inifile.make_schema(AccountSection),
    },
)


def decode_table(content: bytes) -> result.Result[model.RoutingTable, str]:
    """Return the table in an INI text, or a description of every problem in it."""
    try:
        text = content.decode()
    except UnicodeDecodeError:
        return result.Failure("the table is not UTF-8")
    loaded = inifile.load(text, FILE, LAYOUT)
    return loaded.map(_to_table).alt(str)


def _to_table(content: inifile.Content) -> model.RoutingTable:
    named = content.named
    return model.RoutingTable(
        version=content.single["table"].version,
        routes=tuple(_to_route(section) for section in named["route"]),
        services=tuple(_to_service(section) for section in named["service"]),
        limits=content.single["limits"],
        accounts=tuple(
            model.ClientAccount(**dataclasses.asdict(section))
            for section in named["account"]
        ),
    )


def _to_route(section: RouteSection) -> model.Route:
    values = dataclasses.asdict(section)
    values["destinations"] = tuple(
        _to_destination(text) for text in values.pop("services")
    )
    return model.Route(**values)


def _to_service(section: ServiceSection) -> model.Service:
    return model.Service(
        name=section.name,
        health_path=section.health_path,
        max_connections_count=section.max_connections_count,
        slots_count=section.slots_count,
        cache_tokens_count=section.cache_tokens_count,
        tokens_per_event_count=section.tokens_per_event_count,
        scaling=_to_scaling(section) if section.max_servers_count else None,
    )


def _to_scaling(section: ServiceSection) -> model.Scaling | None:
    """Return a service's scaling; None, with a log line, if its bounds are absurd."""
    prices = [text.rpartition(":") for text in section.zone_prices]
    found = model.Scaling(
        min_count=section.min_servers_count,
        max_count=section.max_servers_count,
        boot_s=section.boot_s,
        spot_price=section.spot_price,
        zone_prices=tuple(sorted((zone, float(price)) for zone, _, price in prices)),
    )
    problem = scaling.find_problem(found)
    if problem is None:
        return found
    scaling.log_ignored(section.name, problem)
    return None


def _to_destination(text: str) -> model.Destination:
    name, _, weight = text.partition(":")
    return model.Destination(name, int(weight) if weight.isdecimal() else 1)
