"""Processes that are told to reload as early as an operator can."""

import asyncio

from hickoryweir.testing import waiting
from hickoryweir.testing.soak import cluster as clusters

RELOADS_COUNT = 8
# The interpreter starts within this time, before a process can set its handlers.
INTERPRETER_START_S = 0.03
START_MAX_S = 30.0


async def reload_early(folder):
    """Start a router many times, with SIGHUP in its first milliseconds."""
    cluster = await clusters.start_cluster(folder, 1)
    router = cluster.routers[0]
    outcomes, log = [], router.folder / "log"
    try:
        for number in range(RELOADS_COUNT):
            clusters.kill(router)
            clusters.launch(router)
            await asyncio.sleep(number * INTERPRETER_START_S / RELOADS_COUNT)
            clusters.reload(cluster, router)
            await asyncio.sleep(2 * INTERPRETER_START_S)
            outcomes.append(router.process.poll())
        clusters.kill(router)
        log.write_text("")
        clusters.launch(router)
        clusters.reload(cluster, router)
        await waiting.wait_until(lambda: '"serving"' in log.read_text(), START_MAX_S)
    finally:
        await clusters.stop_all(cluster)
    return outcomes, cluster.early_reloads


def test_sighup_in_the_first_milliseconds_does_not_end_a_process(tmp_path):
    outcomes, early_reloads = asyncio.run(reload_early(tmp_path))
    assert outcomes == [None] * RELOADS_COUNT
    assert len(early_reloads) == RELOADS_COUNT + 1


async def stop_early(folder, delays_s, line=b""):
    """Start and stop a router after each delay; a line stands in for one it wrote."""
    cluster = await clusters.start_cluster(folder, 1)
    router = cluster.routers[0]
    try:
        clusters.kill(router)
        for delay_s in delays_s:
            clusters.launch(router)
            await asyncio.sleep(delay_s)
            with (router.folder / "log").open("ab") as log:
                log.write(line)
            await clusters.stop(cluster, router)
        clusters.launch(router)
        return list(cluster.exit_codes), list(cluster.early_stops)
    finally:
        await clusters.stop_all(cluster)


def test_sigterm_before_a_process_has_handlers_ends_it_at_once(tmp_path):
    exit_codes, early_stops = asyncio.run(stop_early(tmp_path, [0.0, 2.0]))
    assert [host for host, _ in early_stops] == ["127.0.3.1"]
    assert [code for _, code in exit_codes] == [0]


def test_process_that_has_begun_and_is_ended_by_sigterm_is_a_finding(tmp_path):
    exit_codes, early_stops = asyncio.run(stop_early(tmp_path, [0.0], b"began\n"))
    assert [code for _, code in exit_codes] == [-15]
    assert not early_stops
