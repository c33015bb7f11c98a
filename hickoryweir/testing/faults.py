"""Faults that tests switch on at a stand-in by ``POST /faults``."""

import json
from typing import TypeVar

import pydantic


class EngineFaults(pydantic.BaseModel):
    """What goes wrong at a stand-in engine; a post changes the fields it names.

    Attributes
    ----------
    crashed : bool
        Every connection is dropped, and later ones too, until set back.
    crash_marker : str
        A call whose prompt contains this crashes the engine when it runs.
    recovery_s : float
        An engine crashed by a prompt comes back after this time; 0 means never.
    speed_factor : float
        Below 1 the engine is a straggler.
    answer_delay_s : float
        Time by which every answer starts late.
    crossed_count : int
        That many next answers carry the id of the call before.
    cut_count, cut_after_tokens : int
        That many next streams end without finish chunk after some tokens.
    refused_count : int
        That many next calls are refused before running.
    dropped_count : int
        That many next calls find their connection dropped; the engine lives on.
    ignores_resume : bool
        Resumed calls start again from the first token.
    lost_orders_count : int
        That many next orders are obeyed, but their replies are lost.
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
    """What goes wrong at a stand-in service.

    Attributes
    ----------
    crashed : bool
        Every connection is dropped until set back.
    crash_after_running_count : int
        That many next calls run, and their connections are dropped unanswered.
    refused_count : int
        That many next calls are refused before running.
    answer_delay_s : float
        Time by which answers are late; the call runs at once.
    crossed_count : int
        That many next answers carry another request's id.
    """

    model_config = pydantic.ConfigDict(extra="forbid", validate_assignment=True)

    crashed: bool = False
    crash_after_running_count: int = 0
    refused_count: int = 0
    answer_delay_s: float = 0.0
    crossed_count: int = 0


FaultsT = TypeVar("FaultsT", EngineFaults, ServiceFaults)


def merge(faults: FaultsT, raw: bytes) -> FaultsT:
    """Return the faults after a post that names some of the fields.

    Raises
    ------
    ValueError
        The post is not JSON, or names an unknown field or a wrong value.
    """
    changed = faults.model_dump() | json.loads(raw)
    return type(faults).model_validate(changed)
