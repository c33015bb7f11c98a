"""The claims state as bytes, equal for equal states.

Examples
--------
>>> from hickoryweir.claims import machine
>>> load(dump(machine.initial_state())) == machine.initial_state()
True
"""

import dataclasses
import heapq

import msgpack

from hickoryweir.claims import machine

VERSION = 1
RETIRED_BYTES = machine.DIGEST_BYTES


def dump(state: machine.State) -> bytes:
    """Return the state as bytes.

    Parameters
    ----------
    state : State
        Not changed.

    Returns
    -------
    bytes
        Equal for equal states, on every replica.
    """
    packer = msgpack.Packer()
    limits = dataclasses.astuple(state.limits)
    parts = [
        packer.pack_array_header(4),
        packer.pack(VERSION),
        packer.pack(limits),
        packer.pack(state.floor_s),
        packer.pack_array_header(len(state.accounts)),
    ]
    for name in sorted(state.accounts):
        parts.append(packer.pack([name, _pack_account(state.accounts[name])]))
    return b"".join(parts)


def freeze(state: machine.State) -> machine.State:
    """Return a copy for :func:`dump` that later commands don't change.

    Records are immutable, so the copy is quick and the dump can run meanwhile in a
    thread of its own.
    """
    accounts = {
        name: dataclasses.replace(
            account, records=dict(account.records), retired=set(account.retired)
        )
        for name, account in state.accounts.items()
    }
    return dataclasses.replace(state, accounts=accounts, expiries=[])


def load(data: bytes) -> machine.State:
    """Return the state that :func:`dump` wrote.

    Raises
    ------
    ValueError
        If the bytes are of another version.
    """
    version, limits, floor_s, accounts = msgpack.unpackb(data)
    if version != VERSION:
        raise ValueError(f"claims snapshot of version {version}, not {VERSION}")
    state = machine.State(machine.Limits(*limits), floor_s=floor_s)
    for name, packed in accounts:
        account = _unpack_account(packed)
        state.accounts[name] = account
        state.expiries.extend(
            (record.issued_at_s, name, key) for key, record in account.records.items()
        )
    heapq.heapify(state.expiries)
    return state


def _pack_account(account: machine.Account) -> list:
    records = [
        [key, *_pack_record(account.records[key])] for key in sorted(account.records)
    ]
    retired = b"".join(
        digest.to_bytes(RETIRED_BYTES, "big") for digest in sorted(account.retired)
    )
    return [records, retired]


def _pack_record(record: machine.Record) -> list:
    return [getattr(record, field.name) for field in dataclasses.fields(record)]


def _unpack_account(packed: list) -> machine.Account:
    records, retired = packed
    account = machine.Account()
    for key, status, *values, released in records:
        record = machine.Record(
            machine.Status(status), *values, released=tuple(released)
        )
        account.records[key] = record
        account.untimed_count += not record.timed
        account.answers_size_bytes += machine.kept_bytes(record)
    account.retired = {
        int.from_bytes(retired[start : start + RETIRED_BYTES], "big")
        for start in range(0, len(retired), RETIRED_BYTES)
    }
    account.untimed_count += len(account.retired)
    return account
