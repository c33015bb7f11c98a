"""Invariants shared by the models of replicated logs."""

import typing
from collections.abc import Callable

import minicheck


def make_protocol(
    name: str,
    initial: typing.NamedTuple,
    transitions: Callable[[tuple], list],
) -> minicheck.Protocol:
    """Return a model with the invariants that committed entries are kept and agree.

    Parameters
    ----------
    name : str
        Name of the model.
    initial : NamedTuple
        Initial state, with ``replicas``, ``committed``, ``commit_term`` and
        ``conflict`` among its fields.
    transitions : callable
        Returns the steps from a packed state.

    Returns
    -------
    minicheck.Protocol
        Model to check.
    """
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=transitions,
        invariants={
            "committed_is_kept": committed_is_kept,
            "committed_logs_agree": lambda state: not state["conflict"],
        },
    )


def committed_is_kept(state: dict) -> bool:
    """Return whether each leader of a later term has all committed entries."""
    committed = state["committed"]
    return all(
        replica.log[: len(committed)] == committed
        for replica in state["replicas"]
        if replica.leads and replica.term > state["commit_term"]
    )
