"""Queries on idempotency keys, answered from the replicated state.

Examples
--------
>>> from hickoryweir.claims import commands, machine
>>> state = machine.initial_state()
>>> claim = commands.Claim("a", "k", None, b"d", "attempt-1", "till-1", "vm-1")
>>> _ = machine.apply(state, claim, 1, 100.0)
>>> answer(state, ReadOpenKeys(10), 130.0).keys[0].age_s
30.0
"""

import dataclasses
import itertools

from hickoryweir.claims import machine
from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class ReadOpenKeys:
    """Query for calls that may have run and whose outcome is not known."""

    keys_max_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenKey:
    """Key of a call that may have run and whose outcome is not known.

    Attributes
    ----------
    account, key : str
        Client account and idempotency key.
    is_in_progress : bool
        True if no outcome of its attempt is recorded; False if the recorded
        outcome is unknown.
    router, backend_server : str
        Router process that claimed the key, and the destination of the call.
    since_s : float
        Log time of the claim.
    age_s : float
        Time since the claim, in log time.
    """

    account: str
    key: str
    is_in_progress: bool
    router: str
    backend_server: str
    since_s: float
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OpenKeysRead:
    """The oldest open keys, and the number of all open keys."""

    keys: tuple[OpenKey, ...]
    total_count: int


QUERY_TYPES = (ReadOpenKeys,)

codec.register("claims.read_open_keys", ReadOpenKeys)
codec.register("claims.open_key", OpenKey)
codec.register("claims.open_keys_read", OpenKeysRead)


def answer(state: machine.State, query: ReadOpenKeys, time_s: float) -> OpenKeysRead:
    """Return the oldest open keys, at most ``query.keys_max_count`` of them.

    Parameters
    ----------
    state : machine.State
        State to read; not modified.
    query : ReadOpenKeys
        The query.
    time_s : float
        Current log time.
    """
    first = itertools.islice(state.open_keys, query.keys_max_count)
    found = tuple(_open_key(state, account, key, time_s) for account, key in first)
    return OpenKeysRead(found, len(state.open_keys))


def _open_key(state: machine.State, account: str, key: str, time_s: float) -> OpenKey:
    record = state.accounts[account].records[key]
    return OpenKey(
        account,
        key,
        record.status is machine.Status.IN_PROGRESS,
        record.router,
        record.backend_server,
        record.since_s,
        max(0.0, time_s - record.since_s),
    )
