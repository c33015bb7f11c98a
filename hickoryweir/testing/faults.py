"""Faults that tests switch on in a stand-in by ``POST /faults``."""

import json
from typing import TypeVar

import pydantic


class EngineFaults(pydantic.BaseModel):
    """Faults of a stand-in engine.

    Each count is a number of upcoming calls, streams or orders that are affected.

    Attributes
    ----------
    crashed : bool
        Open and new connections are aborted until this is reset.
    crash_marker : str
        A call whose prompt contains this text crashes the engine when it runs.
    recovery_s : float
        Time after which a crashed engine recovers; 0 means never.
    speed_factor : float
        Factor of the engine's prefill and decode rates; below 1 it is a straggler.
    answer_delay_s : float
        Delay before each call starts to run.
    crossed_count : int
        Answers that carry the request ID of the previous call.
    cut_count, cut_after_tokens : int
        Streams that end without a finish chunk, and the tokens that each still sends.
    refused_count : int
        Calls that are refused before running.
    dropped_count : int
        Calls whose connection is aborted before running; the engine does not crash.
    ignores_resume : bool
        Whether resumed calls start again from the first token.
    lost_orders_count : int
        Orders that are executed but whose replies are lost.
    """

    model_config = pydantic.ConfigDict(extra="forbid", validate_assignment=True)

    crashed: bool = False
    crash_marker: str = ""
    recovery_s: float = 0.0
    speed_factor: float = pydantic.Field(default=1.0, ge=0.0)
    answer_delay_s: float = 0.0
    crossed_count: int = 0
    cut_count: int = 0
    cut_after_tokens: int = 3
    refused_count: int = 0
    dropped_count: int = 0
    ignores_resume: bool = False
    lost_orders_count: int = 0


class ServiceFaults(pydantic.BaseModel):
    """Faults of a stand-in service.

    Each count is a number of upcoming calls that are affected.

    Attributes
    ----------
    crashed : bool
        Connections are aborted until this is reset.
    crash_after_running_count : int
        Calls that run and whose connections are then aborted without an answer.
    refused_count : int
        Calls that are refused before running.
    answer_delay_s : float
        Delay between the run of a call, which starts at once, and its answer.
    crossed_count : int
        Answers that carry another request's ID.
    """

    model_config = pydantic.ConfigDict(extra="forbid", validate_assignment=True)

    crashed: bool = False
    crash_after_running_count: int = 0
    refused_count: int = 0
    answer_delay_s: float = 0.0
    crossed_count: int = 0


FaultsT = TypeVar("FaultsT", EngineFaults, ServiceFaults)


def merge(faults: FaultsT, raw: bytes) -> FaultsT:
    """Return the faults with the fields of a JSON request body replaced.

    Raises
    ------
    ValueError
        The body is not JSON, or has an unknown field or an invalid value.
    """
    changed = faults.model_dump() | json.loads(raw)
    return type(faults).model_validate(changed)
