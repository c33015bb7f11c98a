"""Acknowledgements of tables, with fakes of the log and of the routers."""

import asyncio

from returns import result

from hickoryweir.entry import own_formats, tables
from hickoryweir.feeds import confirmations
from hickoryweir.routes import store

TABLE = b"""[table]
version = 2

[service app]

[route a]
host = site.example
path_prefix = /a/
services = app
execution = idempotent
timeout_s = 1
"""


class Log:
    """Accepts each table after a delay."""

    leader_name = "r1"

    def __init__(self, delay_s):
        self._delay_s = delay_s

    async def propose(self, command, timeout_s):
        """Store a command."""
        await asyncio.sleep(self._delay_s)
        return result.Success(store.StoredTable(command.version, b""))


def replace_beside_silent_router(delay_s):
    """Return the outcome and duration of a change that a router never confirms."""

    async def main():
        known = confirmations.Confirmations(float("-inf"))
        known.add("a")
        known.confirm("a", 1)
        decode = own_formats.make_adapters().decode_table
        service = tables.TableService(Log(delay_s), decode, known)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        outcome = await service.replace(TABLE)
        return outcome, loop.time() - started_s

    return asyncio.run(main())


def test_table_is_acknowledged_in_time_beside_a_router_that_never_confirms():
    outcome, duration_s = replace_beside_silent_router(0.0)
    assert outcome == result.Success(2)
    assert confirmations.CONFIRMATION_TIMEOUT_S <= duration_s < 1.0


def test_table_is_not_acknowledged_if_a_slow_log_left_routers_too_little_time():
    outcome, duration_s = replace_beside_silent_router(0.8)
    assert outcome.failure().reason is tables.Reason.UNAVAILABLE
    assert duration_s < 1.0


def test_change_waits_for_a_router_that_an_earlier_one_had_too_little_time_for():
    async def main():
        known = confirmations.Confirmations(float("-inf"))
        known.add("a")
        known.confirm("a", 1)
        decode = own_formats.make_adapters().decode_table
        await tables.TableService(Log(0.9), decode, known).replace(TABLE)
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, known.confirm, "a", 3)
        content = TABLE.replace(b"version = 2", b"version = 3")
        await tables.TableService(Log(0.0), decode, known).replace(content)
        return known._versions

    assert asyncio.run(main()) == {"a": 3}
