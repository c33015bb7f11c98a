"""Cores of many routers in simulated time, with seeded delays and faults.

Tests check with it that versions never go back; :mod:`hickoryweir.measures.routers`
measures how time, bytes and processor time grow with the number of routers.
"""

import collections
import dataclasses
import heapq
import random
import time
from collections.abc import Callable
from typing import Any

from hickoryweir.routers import core, events, messages, topology, versions
from hickoryweir.streams import codec

TICK_PERIOD_S = 0.1
LINK_CHECK_PERIOD_S = 0.25
FRAME_HEADER_SIZE_BYTES = 4

Delay = Callable[["Network", str, str], float]
Observe = Callable[["Network", str, events.Action | None], None]


@dataclasses.dataclass(slots=True)
class Network:
    """All routers, the messages in flight and the injected faults.

    Attributes
    ----------
    partitions : set of frozenset of str
        Pairs of availability zones that can't reach each other.
    drop_share : float
        Share of messages that are lost.
    sent_bytes, processor_s : collections.Counter
        Bytes sent and processor time used, by router.
    sent_bytes_by_kind : collections.Counter
        Bytes sent, by router and class of message.
    """

    members: dict[str, topology.Member]
    random: random.Random
    delay_s: Delay
    observe: Observe
    now_s: float = 0.0
    drop_share: float = 0.0
    incarnation: int = 0
    sequence: int = 0
    states: dict[str, core.State] = dataclasses.field(default_factory=dict)
    queue: list[tuple[float, int, Callable[[], None]]] = dataclasses.field(
        default_factory=list
    )
    partitions: set[frozenset[str]] = dataclasses.field(default_factory=set)
    sent_bytes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    sent_bytes_by_kind: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    processor_s: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def ignore(network: Network, name: str, action: events.Action | None) -> None:
    """Do nothing; the default observer."""


def make_network(
    members: tuple[topology.Member, ...],
    seed: int,
    delay_s: Delay,
    observe: Observe = ignore,
) -> Network:
    """Return a network whose routers have just started, with empty state.

    Parameters
    ----------
    members : tuple of Member
        All processes.
    seed : int
        Seed of delays and losses.
    delay_s : callable
        ``delay_s(network, sender, receiver)`` of one message.
    observe : callable, optional
        Called after each action, and with None after each step.
    """
    by_name = {member.name: member for member in members}
    network = Network(by_name, random.Random(seed), delay_s, observe)
    for name in by_name:
        start(network, name)
        offset_s = network.random.uniform(0.0, TICK_PERIOD_S)
        _call_periodically(network, name, TICK_PERIOD_S, offset_s, _tick)
        _call_periodically(network, name, LINK_CHECK_PERIOD_S, offset_s, _update_links)
    return network


def start(network: Network, name: str) -> None:
    """Start or restart a router with empty state; close its links."""
    network.incarnation += 1
    if name in network.states:
        for peer in list(network.states[name].links):
            step(network, peer, events.LinkClosed(name))
    network.states[name] = core.make_state(
        network.members[name],
        tuple(network.members.values()),
        network.incarnation,
        network.now_s,
    )


def step(network: Network, name: str, event: events.Event) -> None:
    """Pass one event to a router and carry out its actions."""
    started_s = time.process_time()
    actions = core.step(network.states[name], event, network.now_s)
    network.processor_s[name] += time.process_time() - started_s
    for action in actions:
        match action:
            case events.Send():
                _send(network, name, action)
            case events.Adopt():
                network.observe(network, name, action)
                step(network, name, events.Adopted(action.published.version))
            case events.DeliverDigest():
                network.observe(network, name, action)
    network.observe(network, name, None)


def run(network: Network, duration_s: float) -> None:
    """Advance the simulated time and run the callbacks that become due."""
    end_s = network.now_s + duration_s
    while network.queue and network.queue[0][0] <= end_s:
        network.now_s, _, callback = heapq.heappop(network.queue)
        callback()
    network.now_s = end_s


def is_partitioned(network: Network, first: str, second: str) -> bool:
    """Return whether the zones of two routers are partitioned from each other."""
    zones = (network.members[name].availability_zone for name in (first, second))
    return frozenset(zones) in network.partitions


def offer(
    network: Network,
    name: str,
    published: versions.Published | None,
    is_confirmed: bool = False,
) -> None:
    """Pass a router the version that its replica applied, or read from the log."""
    step(network, name, events.LogRead(published, is_confirmed))


def _call_at(network: Network, at_s: float, callback: Callable[[], Any]) -> None:
    network.sequence += 1
    heapq.heappush(network.queue, (at_s, network.sequence, callback))


def _call_periodically(network, name, period_s, offset_s, callback):
    def repeat():
        callback(network, name)
        _call_at(network, network.now_s + period_s, repeat)

    _call_at(network, network.now_s + offset_s, repeat)


def _tick(network, name):
    step(network, name, events.Ticked())


def _update_links(network, name):
    state = network.states[name]
    for peer in list(state.links):
        if is_partitioned(network, name, peer):
            step(network, name, events.LinkClosed(peer))
    for peer in core.wanted_peers(state, network.now_s):
        if is_partitioned(network, name, peer):
            step(network, name, events.DialFailed(peer))
        elif peer not in state.links:
            step(network, name, events.LinkOpened(peer))
            step(network, peer, events.LinkOpened(name))
    _close_unwanted_links(network, name)


def _close_unwanted_links(network, name):
    """Close links that neither side wants any more after a rotation of peers."""
    wanted_peers = set(core.wanted_peers(network.states[name], network.now_s))
    for peer in list(network.states[name].links):
        if peer in wanted_peers:
            continue
        if name not in core.wanted_peers(network.states[peer], network.now_s):
            step(network, name, events.LinkClosed(peer))
            step(network, peer, events.LinkClosed(name))


def _send(network, sender, action):
    receiver = action.peer
    size_bytes = FRAME_HEADER_SIZE_BYTES + len(codec.encode(action.message))
    network.sent_bytes[sender] += size_bytes
    network.sent_bytes_by_kind[(sender, type(action.message))] += size_bytes
    if network.random.random() < network.drop_share:
        return
    incarnation = network.states[receiver].incarnation

    def deliver():
        state = network.states[receiver]
        if (
            is_partitioned(network, sender, receiver)
            or state.incarnation != incarnation
        ):
            return
        if sender in state.links:
            _receive(network, receiver, sender, action.message)

    at_s = network.now_s + network.delay_s(network, sender, receiver)
    _call_at(network, at_s, deliver)


def _receive(network, receiver, sender, message: messages.Message):
    step(network, receiver, events.Received(sender, message))
