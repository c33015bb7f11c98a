"""Polls the platform's list of live and leaving VMs.

Each list is delivered as a :class:`decisions.Listed`.  Failed reads deliver
nothing, so that an outage of the platform removes no backend server.
``docs/peers.md`` describes the format of the list.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import aiohttp
import pydantic
from returns import result

from hickoryweir.discovery import decisions
from hickoryweir.engines import backoff, reads

POLL_INTERVAL_S = 0.5
TIMEOUT_S = 2.0
LONGEST_WAIT_S = 5.0


class VmEntry(reads.Document):
    """One VM in the platform's list."""

    name: str = pydantic.Field(min_length=1)
    state: decisions.VmState


class VmList(reads.Document):
    """The platform's list of VMs."""

    version: int = pydantic.Field(ge=0)
    vms: list[VmEntry]


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
    read = await reads.read_document(session, f"{url}/vms", VmList, timeout_s)
    return read.map(make_listed)


def make_listed(document: VmList) -> decisions.Listed:
    """Convert a validated list to an observation."""
    vms = tuple(decisions.Vm(entry.name, entry.state) for entry in document.vms)
    return decisions.Listed(document.version, vms)


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
