"""Tests of nodes over loopback connections."""

import asyncio
import contextlib
import dataclasses
import hashlib
import pathlib
import zlib

from returns import result

from hickoryweir.configuration import generator, render, settings
from hickoryweir.policy import events as policy_events
from hickoryweir.routers import acknowledgements, messages, node, versions
from hickoryweir.streams import codec, handshake, hub

ANSWERS = pathlib.Path(__file__).parents[3] / "examples" / "kitamori" / "answers.ini"
TEXT = render.render(generator.generate_text(ANSWERS.read_text(), "a").unwrap())
WAIT_S = 20.0
POLL_S = 0.02
# Several reports of a zone, which follow a change within one tick.
REPORT_DELAY_S = 1.0
NAMES = ("a-1", "a-2", "b-1", "b-2")


def make_settings(name, ports):
    others = "".join(
        f"[peer {other}]\nhost = 127.0.0.1\nport = {ports[other]}\n"
        f"availability_zone = {other[0]}\nroles = {roles_of(other)}\n"
        for other in NAMES
        if other != name
    )
    ports_text = "host = 127.0.0.1\nport = 0\nplain_text = yes\n"
    text = (
        f"[process]\nname = {name}\navailability_zone = {name[0]}\n"
        f"cluster_id = test\nroles = {roles_of(name)}\n"
        f"[callers]\n{ports_text}[operators]\n{ports_text}[peers]\n{ports_text}"
        f"[replica]\ndata_folder = data\n{others}"
    )
    return settings.parse(text, pathlib.Path("test.ini")).unwrap()


def roles_of(name):
    return "router, replica" if name.endswith("1") else "router"


def make_published(version):
    digest = hashlib.sha256(TEXT.encode()).hexdigest()
    return versions.Published(version, version, digest, TEXT, ())


async def read_nothing(timeout_s):
    return result.Success(None)


async def confirm_all(running):
    """Confirm each configuration, as a daemon that has applied it."""
    while True:
        in_force = await running.configuration_queue.get()
        await running.confirm(in_force.version)


@contextlib.asynccontextmanager
async def running_nodes(confirming=NAMES):
    """Run nodes, of which some have a daemon that applies configurations."""
    hubs = {}
    for name in NAMES:
        identity = handshake.Identity("test", name, name[0])
        hubs[name] = hub.make_hub(identity, "127.0.0.1", 0)
        await hubs[name].start()
    ports = {name: hubs[name].port for name in NAMES}
    nodes = {
        name: node.make_node(
            make_settings(name, ports),
            hubs[name],
            read_nothing,
            asyncio.Queue(),
            asyncio.Queue(),
        )
        for name in NAMES
    }
    for each in nodes.values():
        each.start()
    tasks = [asyncio.create_task(confirm_all(nodes[name])) for name in confirming]
    try:
        yield nodes
    finally:
        for task in tasks:
            task.cancel()
        for name in NAMES:
            await nodes[name].close()
            await hubs[name].close()


async def wait_until(condition):
    for _ in range(int(WAIT_S / POLL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError


def test_version_reaches_all_nodes_and_zones_report_it():
    async def scenario():
        async with running_nodes() as nodes:
            nodes["a-1"].offer_version(make_published(1))
            await asyncio.gather(*(each.ready.wait() for each in nodes.values()))
            nodes["b-2"].watch()
            await wait_until(lambda: len(nodes["b-2"].zone_reports()) == 2)
            await wait_until(
                lambda: all(
                    acknowledgements.is_in_force(report, 1)
                    for report in nodes["b-2"].zone_reports()
                )
            )
            return {each.in_force.configuration.customer for each in nodes.values()}

    assert asyncio.run(scenario()) == {"kitamori"}


def test_node_serves_connections_only_between_its_start_and_its_close():
    async def is_served(router_hub):
        identity = handshake.Identity("test", "b-1", "b")
        purpose = handshake.Purpose.ROUTER
        outcome = await hub.connect(identity, "127.0.0.1", router_hub.port, purpose)
        connection = outcome.value_or(None)
        if connection is not None:
            connection.abort()
        return connection is not None

    async def scenario():
        router_hub = hub.make_hub(
            handshake.Identity("test", "a-1", "a"), "127.0.0.1", 0
        )
        await router_hub.start()
        ports = dict.fromkeys(NAMES, router_hub.port)
        queues = asyncio.Queue(), asyncio.Queue()
        made = node.make_node(
            make_settings("a-1", ports), router_hub, read_nothing, *queues
        )
        served = [await is_served(router_hub)]
        made.start()
        served.append(await is_served(router_hub))
        await made.close()
        served.append(await is_served(router_hub))
        await router_hub.close()
        return served

    assert asyncio.run(scenario()) == [False, True, False]


def test_connection_that_ends_while_the_inbox_is_full_is_not_kept(monkeypatch):
    monkeypatch.setattr(node, "MAX_INBOX_EVENTS_COUNT", 1)

    async def scenario():
        hubs = {}
        for name in ("a-1", "b-1"):
            identity = handshake.Identity("test", name, name[0])
            hubs[name] = hub.make_hub(identity, "127.0.0.1", 0)
            await hubs[name].start()
        ports = dict.fromkeys(NAMES, hubs["b-1"].port)
        queues = asyncio.Queue(), asyncio.Queue()
        made = node.make_node(
            make_settings("a-1", ports), hubs["a-1"], read_nothing, *queues
        )
        made.watch()
        hubs["b-1"].register(
            handshake.Purpose.ROUTER, lambda connection: asyncio.sleep(WAIT_S)
        )
        dialing = asyncio.create_task(made._dial_one("b-1"))
        await wait_until(lambda: made._connections)
        (connection,) = made._connections["b-1"]
        dialing.cancel()
        await asyncio.gather(dialing, return_exceptions=True)
        kept = connection.is_closed, dict(made._connections)
        connection.abort()
        for each in hubs.values():
            await each.close()
        return kept

    assert asyncio.run(scenario()) == (True, {})


def test_version_that_a_daemon_has_not_applied_is_not_reported_as_in_force():
    async def scenario():
        async with running_nodes(confirming=NAMES[:-1]) as nodes:
            slow, reader = nodes["b-2"], nodes["a-1"]
            reader.offer_version(make_published(1))
            await wait_until(lambda: not slow.configuration_queue.empty())

            def zones_in_force():
                reader.watch()
                reports = reader.zone_reports()
                return {
                    report.availability_zone
                    for report in reports
                    if acknowledgements.is_in_force(report, 1)
                }

            await wait_until(lambda: "a" in zones_in_force())
            await asyncio.sleep(REPORT_DELAY_S)
            before = zones_in_force()
            await slow.confirm(1)
            await wait_until(lambda: "b" in zones_in_force())
            return before

    assert asyncio.run(scenario()) == {"a"}


def test_invalid_configuration_is_counted_and_not_put_in_force():
    async def scenario():
        async with running_nodes() as nodes:
            invalid = dataclasses.replace(make_published(1), text="[nonsense]\n")
            nodes["a-1"].offer_version(invalid)
            counts = nodes["a-1"].state.counts
            await wait_until(lambda: counts["configuration_unreadable"] == 1)
            return nodes["a-1"].in_force

    assert asyncio.run(scenario()) is None


def test_digest_reaches_another_node():
    async def scenario():
        async with running_nodes() as nodes:
            digest = policy_events.PeerDigestReceived("a-2", "a", (), (), ("f",), ())
            nodes["a-2"].offer_digest(digest)
            async with asyncio.timeout(WAIT_S):
                return digest == await nodes["b-2"].digest_queue.get()

    assert asyncio.run(scenario())


def test_node_that_received_a_faulty_update_puts_later_versions_in_force():
    # The content is no delta, which is found only while it is applied.
    content = zlib.compress(codec.encode(messages.Pull(0)))
    faulty = messages.Update(5, 5, "", (), 1, content)

    async def scenario():
        async with running_nodes() as nodes:
            tested = nodes["a-1"]
            tested.offer_version(make_published(1))
            await wait_until(lambda: tested.in_force is not None)
            outcome = await hub.connect(
                handshake.Identity("test", "b-3", "b"),
                "127.0.0.1",
                tested._hub.port,
                handshake.Purpose.ROUTER,
            )
            connection = outcome.unwrap()
            connection.offer(faulty)
            await asyncio.sleep(0.5)
            tested.offer_version(make_published(2))
            await wait_until(lambda: tested.in_force.version == 2)
            connection.abort()

    asyncio.run(scenario())
