"""Replicas whose links to each other go through proxies that can silence them."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Iterator

import pytest

from hickoryweir.replicas import messages
from hickoryweir.replicas.tests import register
from hickoryweir.streams import hub
from hickoryweir.testing import proxies

CHECK_INTERVAL_S = 0.02


@dataclasses.dataclass(slots=True)
class Mesh:
    """A proxy for each process and port that it connects to.

    Attributes
    ----------
    by_link : dict
        The proxies by the name of the connecting process and the port.
    delay_s : float
        Delay of each direction of new proxies.
    """

    by_link: dict[tuple[str, int], proxies.Proxy] = dataclasses.field(
        default_factory=dict
    )
    delay_s: float = 0.0

    def silence(
        self, names: set[str], forward: bool = True, backward: bool = True
    ) -> None:
        """Silence the open connections that these processes have opened."""
        for (name, _), proxy in self.by_link.items():
            if name in names:
                proxies.silence_open(proxy, forward, backward)


@contextlib.contextmanager
def link_by_proxies(monkeypatch: pytest.MonkeyPatch) -> Iterator[Mesh]:
    """Connect each process to the others through proxies of its own."""
    mesh = Mesh()
    connect = hub.connect

    async def connect_by_proxy(identity, host, port, *args, **options) -> hub.Connected:
        link = identity.process_name, port
        if link not in mesh.by_link:
            mesh.by_link[link] = await proxies.start_proxy(host, port, mesh.delay_s)
        port = mesh.by_link[link].port
        return await connect(identity, host, port, *args, **options)

    with monkeypatch.context() as patch:
        patch.setattr(hub, "connect", connect_by_proxy)
        yield mesh
    for proxy in mesh.by_link.values():
        proxy.server.close()
        proxies.reset_all(proxy)


async def wait_until_all_are_heard(replicas: dict[str, register.Running]) -> None:
    """Wait until every replica has received a message from every other."""
    nodes = [item.node for item in replicas.values()]
    for node in nodes:
        node.state.heard_from_ids.clear()
    pairs = [(sender, node) for sender in nodes for node in nodes if sender != node]
    while not all(
        sender.state.member_id in node.state.heard_from_ids for sender, node in pairs
    ):
        for sender, node in pairs:
            # A refused pre-vote has no effect on its receiver.
            sender._links.send(
                messages.Envelope(
                    node.state.member_id,
                    sender.state.member_id,
                    node.state.term,
                    messages.VoteResponse(False, True),
                )
            )
        await asyncio.sleep(CHECK_INTERVAL_S)
