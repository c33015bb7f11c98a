"""Usage reports of real processes, before a stand-in of the infrastructure."""

import asyncio
import collections
import shutil
import signal
import time

from hickoryweir.entry.tests import duty_processes
from hickoryweir.testing import duty_platform

TOLERANCE = 0.05
ROUTERS = duty_processes.ROUTER_HOSTS
# The lease of 1 s, and the time of a call.
HOLDER_LEASE_S = 1.2
# At least this many windows are open under load for all of their time.
WINDOWS_COUNT = 2


def check_counts(site, numbers):
    """Check that the reports of windows agree with what the server began."""
    reported = duty_platform.accepted_usage(site.platform)
    for number in numbers:
        began = site.began_in(number)
        assert reported[number].keys() <= began.keys(), number
        for account_name, count in began.items():
            off = abs(reported[number].get(account_name, 0) - count)
            allowed = TOLERANCE * count
            assert off <= allowed, (number, account_name, began, reported[number])


def reports(site):
    """Return the replicas' entries on windows that were reported."""
    return [
        entry
        for host in duty_processes.REPLICA_HOSTS
        for entry in duty_processes.read_log(site, host)
        if entry["message"] == "window of usage reported"
    ]


def check_on_time(site):
    """Check that no window was reported late."""
    found = collections.Counter(entry["reason"] for entry in reports(site))
    assert found.keys() == {"on_time"}, found


async def load_during(site, disturb, hosts, after_s=1.0):
    """Send requests while `disturb` runs and for a while after it.

    Returns the numbers of the windows that were open for all of their time.
    """
    first = duty_processes.current_window() + 1
    loads = [asyncio.create_task(site.load(120.0, (host,), 0.05)) for host in hosts]
    await asyncio.sleep(1.5)
    await disturb()
    await asyncio.sleep(after_s)
    left_s = (first + WINDOWS_COUNT) * duty_processes.WINDOW_S - time.time()
    await asyncio.sleep(max(0.0, left_s))
    for load in loads:
        load.cancel()
    await asyncio.gather(*loads, return_exceptions=True)
    last = duty_processes.current_window() - 1
    for number in range(first, last + 1):
        await site.wait_for_window(number)
    return range(first, last + 1)


def run(folder, scenario, **options):
    """Run a scenario at a site whose holder may make calls."""

    async def main():
        async with duty_processes.run_site(folder, **options) as site:
            await site.holder()
            await scenario(site)

    asyncio.run(main())


def test_windows_are_reported_once_each_and_on_time(tmp_path):
    # Guards against the loss of counts between routers, log and infrastructure.
    async def scenario(site):
        async def disturb():
            await asyncio.sleep(2.0)

        numbers = await load_during(site, disturb, ROUTERS[:2])
        check_counts(site, numbers)
        check_on_time(site)
        assert site.violations() == []

    run(tmp_path, scenario)


def test_lost_and_late_calls_and_refusals_change_no_report(tmp_path):
    # A call without a response may be executed after newer ones (requirements 4, 5, 8).
    async def scenario(site):
        faults = site.platform.faults

        async def disturb():
            for name in ("lost_count", "late_count", "conflicts_count"):
                setattr(faults, name, 2)
                await asyncio.sleep(3.0)
            faults.over_rate_count = 3
            faults.delay_s = 0.4
            await asyncio.sleep(3.0)
            faults.delay_s = 0.0

        numbers = await load_during(site, disturb, ROUTERS[:2])
        check_counts(site, numbers)
        assert site.violations() == []
        assert any(call.is_late for call in site.platform.calls)

    run(tmp_path, scenario)


def check_frozen_holder(folder, checks_fencing):
    async def scenario(site):
        async def disturb():
            host = await site.holder()
            site.signal(host, signal.SIGSTOP)
            await asyncio.sleep(4.0)
            site.signal(host, signal.SIGCONT)
            # It leads again, since requirement 3 is about its return.
            await asyncio.sleep(1.0)
            frozen_again = await site.holder()
            site.signal(frozen_again, signal.SIGSTOP)
            await asyncio.sleep(2.5)
            site.signal(frozen_again, signal.SIGCONT)

        numbers = await load_during(site, disturb, ROUTERS[:2], after_s=2.0)
        check_counts(site, numbers)
        assert site.violations() == []
        assert len({call.holder for call in site.platform.calls}) > 1

    run(folder, scenario, checks_fencing=checks_fencing)


def test_frozen_holder_that_wakes_sends_nothing(tmp_path):
    # Requirements 2 and 3, where tokens are checked.
    check_frozen_holder(tmp_path, True)


def test_frozen_holder_that_wakes_sends_nothing_without_fencing(tmp_path):
    # Requirements 2 and 3, where no later check stops an earlier holder.
    check_frozen_holder(tmp_path, False)


def test_holder_without_a_majority_sends_nothing(tmp_path):
    # Requirement 2: its lease ends although it reaches the infrastructure.
    async def scenario(site):
        holder = await site.holder()
        followers = [host for host in duty_processes.REPLICA_HOSTS if host != holder]
        # Reports that are refused are repeated several times a second.
        site.platform.faults.over_rate_count = 10_000
        await asyncio.sleep(2 * duty_processes.WINDOW_S)
        begun_s = time.monotonic()
        for host in followers:
            site.signal(host, signal.SIGSTOP)
        await asyncio.sleep(4.0)
        for host in followers:
            site.signal(host, signal.SIGCONT)
        received_s = site.platform.received_s
        assert any(at_s < begun_s for at_s in received_s)
        assert not any(
            begun_s + HOLDER_LEASE_S < at_s < begun_s + 4 for at_s in received_s
        )

    run(tmp_path, scenario)


def test_killed_leader_and_restarted_replicas_lose_no_window(tmp_path):
    # A successor repeats decided counts and decides the open windows.
    async def scenario(site):
        async def disturb():
            for _ in range(2):
                host = await site.holder()
                site.signal(host, signal.SIGKILL)
                await site.processes[host].wait()
                await asyncio.sleep(2.0)
                await site.start(host, "replica")
                await asyncio.sleep(2.0)

        numbers = await load_during(site, disturb, ROUTERS[:2])
        check_counts(site, numbers)
        assert site.violations() == []

    run(tmp_path, scenario)


def test_power_loss_of_all_replicas_uses_no_token_twice(tmp_path):
    # Requirement 1: the token comes from the log, also when all replicas stop at once.
    async def scenario(site):
        async def disturb():
            for host in duty_processes.REPLICA_HOSTS:
                site.signal(host, signal.SIGKILL)
            for host in duty_processes.REPLICA_HOSTS:
                await site.processes[host].wait()
            for host in duty_processes.REPLICA_HOSTS:
                await site.start(host, "replica")
            await asyncio.sleep(3.0)

        numbers = await load_during(site, disturb, ROUTERS[:2], after_s=2.0)
        check_counts(site, numbers)
        assert site.violations() == []

    run(tmp_path, scenario)


def test_replaced_replicas_use_no_token_twice(tmp_path):
    # Requirement 1: the disk of each holder is lost in turn.
    tokens = []

    async def read_token(site):
        host = await site.holder()
        tokens.append((await site.describe(host))["own_token"])
        return host

    async def scenario(site):
        async def disturb():
            for _ in range(2):
                host = await read_token(site)
                site.signal(host, signal.SIGKILL)
                await site.processes[host].wait()
                shutil.rmtree(site.folder / host)
                await site.start(host, "replica")
                await site.wait_until_serving(host)
                # The new replica is admitted in place of the lost one.
                await asyncio.sleep(6.0)
            await read_token(site)

        numbers = await load_during(site, disturb, ROUTERS[:2])
        check_counts(site, numbers)
        assert site.violations() == []
        assert tokens == sorted(set(tokens))
        assert len(tokens) == 3

    run(tmp_path, scenario)


def test_minority_of_clocks_that_jump_changes_no_count(tmp_path):
    # Requirement 6: 3 routers and the leader are heard, and one clock at a time jumps.
    async def scenario(site):
        async def disturb():
            holder = await site.holder()
            for host, offset_s in ((ROUTERS[0], 7.3), (holder, -4.6), (ROUTERS[1], -9)):
                site.set_clock(host, offset_s)
                await asyncio.sleep(2.0)
                site.set_clock(host, 0)
                await asyncio.sleep(1.2)

        numbers = await load_during(site, disturb, ROUTERS)
        check_counts(site, numbers)
        assert site.violations() == []

    run(tmp_path, scenario, routers_count=3)


def test_counts_stay_within_the_tolerance_when_a_router_is_killed(tmp_path):
    # Requirement 6: losses are bounded; the window is decided without the router.
    async def scenario(site):
        async def disturb():
            site.signal(ROUTERS[0], signal.SIGKILL)
            await site.processes[ROUTERS[0]].wait()
            await asyncio.sleep(1.0)

        numbers = await load_during(site, disturb, ROUTERS[:2])
        check_counts(site, numbers)
        check_on_time(site)
        assert site.violations() == []

    run(tmp_path, scenario)


def test_silent_infrastructure_gets_the_reports_later(tmp_path):
    # Reports wait in the log, and none is made with another count.
    async def scenario(site):
        async def disturb():
            site.platform.faults.delay_s = 30.0
            await asyncio.sleep(5.0)
            site.platform.faults.delay_s = 0.0

        numbers = await load_during(site, disturb, ROUTERS[:2])
        check_counts(site, numbers)
        assert site.violations() == []

    run(tmp_path, scenario)


def test_operators_see_holder_and_token(tmp_path):
    # Requirement 10.
    async def scenario(site):
        host = await site.holder()
        described = await site.describe(host)
        assert described["holder"] == host
        assert described["token"] == described["own_token"] > 0
        other = duty_processes.REPLICA_HOSTS[0]
        # A follower learns of the commit with the next message of the leader.
        await asyncio.sleep(1.0)
        assert (await site.describe(other))["token"] == described["token"]
        await site.wait_for_window(duty_processes.current_window())
        assert (await site.describe(host))["decided_windows"]

    run(tmp_path, scenario)
