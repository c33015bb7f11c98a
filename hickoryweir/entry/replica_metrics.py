"""Metrics of a replica's node and of its connections with the other replicas."""

import time
from collections.abc import Callable, Iterable

from prometheus_client import core as prometheus_core
from prometheus_client import registry as prometheus_registry

from hickoryweir.replicas import elections, messages, node
from hickoryweir.replicas import state as states
from hickoryweir.streams import handshake, hub

PREFIX = "hickoryweir_"
# The role of a replica whose data folder is not open.
NOT_OPEN = "not_open"
ROLES = (*(role.value for role in states.Role), NOT_OPEN)


class ReplicaCollector(prometheus_registry.Collector):
    """Exports the state of the current node at the time of a scrape.

    Parameters
    ----------
    get_node : callable
        Returns the replica's node, which is replaced after a disk failure.
    peer_hub : hub.Hub
        Accepts the connections of other processes.
    """

    def __init__(self, get_node: Callable[[], node.Node], peer_hub: hub.Hub) -> None:
        self._get_node = get_node
        self._hub = peer_hub

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Yield the families."""
        current = self._get_node()
        now_s = time.monotonic()
        yield _role_family(current.state)
        yield _quorum_family(current.state, now_s)
        names = _other_members(current.state)
        yield _last_heard_family(current, names, now_s)
        yield _incoming_family(current, names)
        yield self._unserved_family()

    def _unserved_family(self) -> prometheus_core.Metric:
        text = "Connections refused because nothing serves their purpose now."
        family = prometheus_core.Metric(
            PREFIX + "unserved_connections", text, "counter"
        )
        for purpose in handshake.Purpose:
            count = self._hub.unserved_counts[purpose.value]
            labels = {"purpose": purpose.value}
            family.add_sample(family.name + "_total", labels, count)
        return family


def _make_gauge(name: str, text: str) -> prometheus_core.Metric:
    return prometheus_core.Metric(PREFIX + name, text, "gauge")


def _role_family(state: states.State | None) -> prometheus_core.Metric:
    family = _make_gauge("replica_role", "1 for the role of this replica.")
    current = NOT_OPEN if state is None else state.role.value
    for role in ROLES:
        family.add_sample(family.name, {"role": role}, int(role == current))
    return family


def _quorum_family(state: states.State | None, now_s: float) -> prometheus_core.Metric:
    text = "Whether this replica can reach a quorum, as far as it knows."
    family = _make_gauge("replica_has_quorum", text)
    has_quorum = state is not None and elections.has_quorum(state, now_s)
    family.add_sample(family.name, {}, int(has_quorum))
    return family


def _other_members(state: states.State | None) -> list[str]:
    if state is None:
        return []
    members = state.membership.members
    names = {messages.replica_name_of(member.member_id) for member in members}
    return sorted(names - {messages.replica_name_of(state.member_id)})


def _last_heard_family(
    current: node.Node, names: list[str], now_s: float
) -> prometheus_core.Metric:
    text = "Time since another member was heard; infinite if it was not."
    family = _make_gauge("replica_last_heard_seconds", text)
    for name in names:
        silent_s = current.silent_s(name, now_s)
        family.add_sample(family.name, {"member": name}, silent_s)
    return family


def _incoming_family(current: node.Node, names: list[str]) -> prometheus_core.Metric:
    text = "Open connections that another member has opened to this replica."
    family = _make_gauge("replica_incoming_connections", text)
    for name in names:
        count = current.incoming_counts[name]
        family.add_sample(family.name, {"member": name}, count)
    return family
