"""Connections on which routers tell replicas their counts."""

import asyncio
import contextlib
import time

import prometheus_client
import pytest
from returns import result

from hickoryweir import clocks
from hickoryweir.duties import (
    duty_metrics,
    true_time,
    usage_counts,
    usage_feed,
    usage_plan,
    usage_reporter,
    usage_sums,
)
from hickoryweir.replicas import wire
from hickoryweir.replicas.tests import silent_links
from hickoryweir.streams import handshake, hub
from hickoryweir.testing import waiting

HOST = "127.0.0.1"
TIMEOUT_S = 10.0
# The length of the shortest window.
SILENCE_TIMEOUT_S = 5.0
FINISH_TIMEOUT_S = 0.2
SETTINGS = usage_plan.Settings(5.0, 10.0)


def make_identity(name):
    return handshake.Identity("test", name, "a")


def make_reporter():
    return usage_reporter.Reporter(SETTINGS, None, None, None, lambda: True, 0.0)


@contextlib.asynccontextmanager
async def run_sender(peer_hub, counts, wall_s=time.time):
    replica = wire.ReplicaAddress("replica", HOST, peer_hub.port, "a")
    sender = usage_feed.Sender(
        make_identity("router"), counts, lambda: {"r": replica}, read_wall_s=wall_s
    )
    task = asyncio.create_task(sender.run())
    try:
        yield sender
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@contextlib.asynccontextmanager
async def run_hub(reporter=None):
    peer_hub = hub.make_hub(make_identity("replica"), HOST, 0)
    if reporter is not None:
        receiver = usage_feed.Receiver(reporter, lambda: True)
        peer_hub.register(handshake.Purpose.USAGE, receiver.serve)
    await peer_hub.start()
    try:
        yield peer_hub
    finally:
        await peer_hub.close()


def total(reporter):
    return sum(
        account.requests_count
        for number in range(10_000)
        for account in usage_sums.sum_window(reporter.sums, number)
    )


class FullQueue:
    """A connection whose queue takes no message until it is freed."""

    def __init__(self):
        self.is_closed = False
        self.is_full = True
        self.peer = make_identity("replica")
        self.sent = []

    def offer(self, message):
        """Keep the message, unless the queue is full."""
        if self.is_full:
            return result.Failure("queue full")
        self.sent.append(message)
        return result.Success(None)


def test_counts_that_were_not_queued_are_sent_with_the_next_message():
    """Guards against counts that a replica misses until they change again."""

    async def main():
        counts = usage_counts.make_state("p1", 5.0)
        sender = usage_feed.Sender(make_identity("router"), counts, dict)
        connection = FullQueue()
        sender.count("a")
        task = asyncio.create_task(sender._send(connection))
        await asyncio.sleep(1.5 * usage_feed.SEND_INTERVAL_S)
        connection.is_full = False
        await asyncio.sleep(1.5 * usage_feed.SEND_INTERVAL_S)
        task.cancel()
        return connection.sent

    first = asyncio.run(main())[0]
    assert [account.account_name for account in first.windows[0].accounts] == ["a"]


def test_report_accepted_without_a_clock_is_recorded():
    """Guards against an error after a suspension during the call of a report."""
    registry = prometheus_client.CollectorRegistry()
    reporter = make_reporter()
    reporter.metrics = duty_metrics.make_metrics(registry)
    usage_reporter._record_accepted(reporter, 7)
    assert reporter.accepted == {7}


def test_replica_of_an_older_build_refuses_the_connection_a_few_times_only():
    # During an upgrade each refusal is a log line at the replica.
    async def main():
        async with run_hub() as peer_hub:
            counts = usage_counts.make_state("p1", 5.0)
            async with run_sender(peer_hub, counts):
                refusals = peer_hub.refusals
                wrong = handshake.RefusalReason.WRONG_PURPOSE
                await waiting.wait_until(lambda: refusals[wrong], TIMEOUT_S)
                await asyncio.sleep(2.0)
                return refusals[wrong]

    assert asyncio.run(main()) == 1


def test_restarted_replica_gets_all_counts_again():
    # Guards against sums that lack what was counted before the restart.
    async def count_one(counts, expected):
        reporter = make_reporter()
        async with (
            run_hub(reporter) as peer_hub,
            run_sender(peer_hub, counts, lambda: 1_000.0) as sender,
        ):
            sender.count("a")
            await waiting.wait_until(lambda: total(reporter) == expected, TIMEOUT_S)

    async def main():
        counts = usage_counts.make_state("p1", 5.0)
        await count_one(counts, 1)
        await count_one(counts, 2)

    asyncio.run(main())


def test_new_router_learns_the_true_time_before_it_counts_for_long():
    # A router whose clock is off would otherwise count in other windows.
    async def main():
        reporter = make_reporter()
        now_s = clocks.boottime_s()
        for number in range(5):
            message = usage_counts.make_message(
                usage_counts.make_state(f"p{number}", 5.0), 0, now_s, 50_000.0
            )
            usage_sums.add(reporter.sums, message, now_s)
            true_time.add_sample(reporter.clock, message.process_id, 50_000.0, now_s)
        counts = usage_counts.make_state("new", 5.0)
        async with run_hub(reporter) as peer_hub:
            started_s = time.monotonic()
            async with run_sender(peer_hub, counts, lambda: 99_000.0):
                await waiting.wait_until(lambda: counts.offset_s is not None, TIMEOUT_S)
                waited_s = time.monotonic() - started_s
        return counts.offset_s + now_s, waited_s

    true_s, waited_s = asyncio.run(main())
    assert abs(true_s - 50_000.0) < 0.5
    assert waited_s < 1.0


@pytest.mark.parametrize(
    ("forward", "backward"), [(True, True), (True, False), (False, True)]
)
def test_counts_arrive_after_the_connection_went_silent(monkeypatch, forward, backward):
    async def main():
        reporter, counts = make_reporter(), usage_counts.make_state("p1", 5.0)
        with silent_links.link_by_proxies(monkeypatch) as mesh:
            async with (
                run_hub(reporter) as peer_hub,
                run_sender(peer_hub, counts, lambda: 1_000.0) as sender,
            ):
                sender.count("a")
                await waiting.wait_until(lambda: total(reporter) == 1, TIMEOUT_S)
                mesh.silence({"router"}, forward, backward)
                sender.count("a")
                await waiting.wait_until(
                    lambda: total(reporter) == 2, SILENCE_TIMEOUT_S
                )

    asyncio.run(main())


def test_last_counts_of_a_router_that_stops_arrive_at_once():
    async def main():
        reporter, counts = make_reporter(), usage_counts.make_state("p1", 5.0)
        async with (
            run_hub(reporter) as peer_hub,
            run_sender(peer_hub, counts, lambda: 1_000.0) as sender,
        ):
            sender.count("a")
            await waiting.wait_until(lambda: total(reporter) == 1, TIMEOUT_S)
            sender.count("a")
            started_s = time.monotonic()
            await sender.finish(TIMEOUT_S)
            return total(reporter), time.monotonic() - started_s

    count, took_s = asyncio.run(main())
    assert count == 2
    assert took_s < TIMEOUT_S / 2


def test_stop_of_a_router_does_not_wait_for_a_silent_replica(monkeypatch):
    async def main():
        reporter, counts = make_reporter(), usage_counts.make_state("p1", 5.0)
        with silent_links.link_by_proxies(monkeypatch) as mesh:
            async with (
                run_hub(reporter) as peer_hub,
                run_sender(peer_hub, counts, lambda: 1_000.0) as sender,
            ):
                sender.count("a")
                await waiting.wait_until(lambda: total(reporter) == 1, TIMEOUT_S)
                mesh.silence({"router"})
                started_s = time.monotonic()
                await sender.finish(FINISH_TIMEOUT_S)
                return time.monotonic() - started_s

    assert FINISH_TIMEOUT_S - 0.05 < asyncio.run(main()) < FINISH_TIMEOUT_S + 1.0


def test_stop_of_a_router_without_a_replica_does_not_wait():
    async def main():
        counts = usage_counts.make_state("p1", 5.0)
        sender = usage_feed.Sender(make_identity("router"), counts, dict)
        started_s = time.monotonic()
        await sender.finish(TIMEOUT_S)
        return time.monotonic() - started_s

    assert asyncio.run(main()) < 1.0
