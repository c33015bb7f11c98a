"""Serialization of the claims state, byte-identical on every replica.

Accounts and records are written in the order in which the log created them, and
loading preserves this order, so they need no sorting.

Examples
--------
>>> from hickoryweir.claims import machine
>>> load(dump(machine.initial_state())) == machine.initial_state()
True
"""

import dataclasses
import heapq
import operator

import msgpack

from hickoryweir.claims import machine

VERSION = 1
PART_COUNT = 4
ACCOUNT_PART_COUNT = 3
RETIRED_BYTES = machine.DIGEST_BYTES
STATUSES = tuple(machine.Status)
RECORD_FIELDS = operator.attrgetter(
    *(field.name for field in dataclasses.fields(machine.Record))
)


def dump(state: machine.State) -> bytes:
    """Return the serialized state.

    Parameters
    ----------
    state : State
        Not modified.

    Returns
    -------
    bytes
        Identical on every replica that has applied the same log.
    """
    packer = msgpack.Packer(autoreset=False)
    packer.pack_array_header(PART_COUNT)
    packer.pack(VERSION)
    packer.pack(dataclasses.astuple(state.limits))
    packer.pack(state.floor_s)
    packer.pack_array_header(len(state.accounts))
    for name, account in state.accounts.items():
        _pack_account(packer, name, account)
    return packer.bytes()


def freeze(state: machine.State) -> machine.State:
    """Return a copy for :func:`dump` that later commands don't modify.

    Records are immutable and shared with the copy, so copying is fast and the dump
    can run in another thread.
    """
    accounts = {
        name: dataclasses.replace(
            account, records=dict(account.records), retired=set(account.retired)
        )
        for name, account in state.accounts.items()
    }
    return dataclasses.replace(state, accounts=accounts, expiries=[], open_keys={})


def load(data: bytes) -> machine.State:
    """Return the state that :func:`dump` serialized.

    Raises
    ------
    ValueError
        If the data has another format version.
    """
    version, limits, floor_s, accounts = msgpack.unpackb(data)
    if version != VERSION:
        raise ValueError(
            f"claims snapshot has format version {version}, expected {VERSION}"
        )
    state = machine.State(machine.Limits(*limits), floor_s=floor_s)
    for name, records, retired in accounts:
        account = _unpack_account(records, retired)
        state.accounts[name] = account
        state.expiries.extend(
            (record.issued_at_s, name, key) for key, record in account.records.items()
        )
        state.open_keys.update(
            ((name, key), None)
            for key, record in account.records.items()
            if machine.is_open(record)
        )
    heapq.heapify(state.expiries)
    return state


def _pack_account(packer: msgpack.Packer, name: str, account: machine.Account) -> None:
    packer.pack_array_header(ACCOUNT_PART_COUNT)
    packer.pack(name)
    packer.pack_array_header(len(account.records))
    for key, record in account.records.items():
        packer.pack((key, RECORD_FIELDS(record)))
    packer.pack(
        b"".join(
            digest.to_bytes(RETIRED_BYTES, "big") for digest in sorted(account.retired)
        )
    )


def _unpack_account(records: list, retired: bytes) -> machine.Account:
    account = machine.Account()
    for key, (status, *values, released) in records:
        record = machine.Record(STATUSES[status], *values, tuple(released))
        account.records[key] = record
        account.untimed_count += not record.timed
        account.answers_size_bytes += machine.stored_answer_size_bytes(record)
    account.retired = {
        int.from_bytes(retired[start : start + RETIRED_BYTES], "big")
        for start in range(0, len(retired), RETIRED_BYTES)
    }
    account.untimed_count += len(account.retired)
    return account
