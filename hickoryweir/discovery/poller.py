"""Polls the platform's list of live and leaving VMs.

Each list is delivered as a :class:`decisions.Listed`.  Failed reads deliver
nothing, so that an outage of the platform removes no backend server.  An entry that
can't be read is skipped; the list alone makes no VM count as gone.
``docs/peers.md`` describes the format of the list.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

import aiohttp
import pydantic
from returns import result

from hickoryweir.discovery import decisions, entries
from hickoryweir.engines import backoff, reads
from hickoryweir.observability import logs

POLL_INTERVAL_S = 0.5
TIMEOUT_S = 2.0
LONGEST_WAIT_S = 5.0
LIST_NAME = "vms"
VERSION_NAME = "version"
VERSION = pydantic.TypeAdapter(pydantic.conint(ge=0, le=1 << 63))


class VmEntry(reads.Document):
    """One VM in the platform's list."""

    name: str = pydantic.Field(min_length=1)
    state: decisions.VmState


@dataclasses.dataclass(frozen=True, slots=True)
class PollSettings:
    """Polling interval, request timeout and maximum backoff."""

    interval_s: float = POLL_INTERVAL_S
    timeout_s: float = TIMEOUT_S
    longest_wait_s: float = LONGEST_WAIT_S


async def fetch(
    session: aiohttp.ClientSession, url: str, timeout_s: float = TIMEOUT_S
) -> result.Result[decisions.Listed, reads.ReadFailure]:
    """Fetch the platform's current list of VMs."""
    return (await reads.read_bytes(session, f"{url}/vms", timeout_s)).bind(decode_list)


def decode_list(body: bytes) -> result.Result[decisions.Listed, reads.ReadFailure]:
    r"""Return the observation in a response body; entries that are invalid are skipped.

    Examples
    --------
    >>> decode_list(b'{"version": 3, "vms": [{"name": "\xff"}]}').unwrap()
    Listed(version=3, vms=())
    """
    found = entries.split(body, LIST_NAME)
    if isinstance(found, result.Failure):
        message = f"the list is unreadable: {found.failure()}"
        return result.Failure(reads.ReadFailure(message, got_response=True))
    document = found.unwrap()
    try:
        version = VERSION.validate_json(document.fields.get(VERSION_NAME, b""))
    except ValueError:
        message = "the list has no version"
        return result.Failure(reads.ReadFailure(message, got_response=True))
    decoded = [
        entries.decode_entry(entry).bind(_parse_entry) for entry in document.entries
    ]
    vms = [item.unwrap() for item in decoded if isinstance(item, result.Success)]
    problems = [item.failure() for item in decoded if isinstance(item, result.Failure)]
    _log_skipped((*document.problems, *problems))
    return result.Success(decisions.Listed(version, tuple(vms)))


def _parse_entry(entry: dict[str, Any]) -> result.Result[decisions.Vm, str]:
    try:
        parsed = VmEntry.model_validate(entry)
        # Raises for a lone surrogate, which can't be sent.
        parsed.name.encode()
    except pydantic.ValidationError as error:
        return result.Failure(entries.describe_invalid(error))
    except UnicodeEncodeError:
        return result.Failure("name: a lone surrogate")
    return result.Success(decisions.Vm(parsed.name, parsed.state))


def _log_skipped(problems: tuple[str, ...]) -> None:
    if problems:
        fields = logs.Fields(reason=problems[0], detail=f"{len(problems)} entries")
        logs.warning("unusable entries in the list of VMs", fields)


async def run(
    session: aiohttp.ClientSession,
    url: str,
    callback: Callable[[decisions.Listed], None],
    settings: PollSettings | None = None,
) -> None:
    """Poll until cancelled and pass each list to `callback`.

    Parameters
    ----------
    session : aiohttp.ClientSession
        See :func:`hickoryweir.engines.sessions.make_session`.
    url : str
        Base URL of the platform's API.
    callback : callable
        Called with each list, such as a queue's ``put_nowait``.
    settings : PollSettings, optional
        Polling interval, request timeout and maximum backoff.
    """
    settings = settings or PollSettings()
    failures_count = 0
    while True:
        listed = await fetch(session, url, settings.timeout_s)
        if isinstance(listed, result.Success):
            failures_count = 0
            callback(listed.unwrap())
        else:
            failures_count += 1
        wait_s = backoff.wait_s(
            settings.interval_s, settings.longest_wait_s, failures_count, url
        )
        await asyncio.sleep(wait_s)
