"""Connections of a router that take long to close at its stop."""

import asyncio
import time

from hickoryweir import clocks
from hickoryweir.entry import own_formats, router, settings
from hickoryweir.entry.tests import test_first_table

LEFT_S = 0.3
MARGIN_S = 1.0


def test_silent_replica_does_not_hold_up_a_stop_beyond_the_grace():
    """Guards against a process that is killed for a peer that is gone."""

    async def main():
        entry_settings = settings.parse(test_first_table.SETTINGS, "a.ini").unwrap()
        process = router.Router(entry_settings, own_formats.make_adapters())
        close_log, is_released = process._log.close, asyncio.Event()
        process._log.close = is_released.wait
        began_s = time.monotonic()
        await process._close_before(clocks.boottime_s() + LEFT_S, [])
        took_s = time.monotonic() - began_s
        is_released.set()
        await close_log()
        await process._close()
        return took_s

    assert LEFT_S - 0.05 < asyncio.run(main()) < LEFT_S + MARGIN_S


def test_background_work_is_ended_before_connections_are_closed():
    async def main():
        entry_settings = settings.parse(test_first_table.SETTINGS, "a.ini").unwrap()
        process = router.Router(entry_settings, own_formats.make_adapters())
        work = asyncio.create_task(asyncio.sleep(60.0))
        await process._close_before(clocks.boottime_s() + 60.0, [work])
        return work.cancelled(), process._list_session.closed

    assert asyncio.run(main()) == (True, True)
