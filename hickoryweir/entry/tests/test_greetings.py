"""What a router tells a replica that has replaced another one."""

import asyncio

from hickoryweir import clocks
from hickoryweir.entry import own_formats, router, settings
from hickoryweir.entry.tests import test_first_table
from hickoryweir.feeds import messages
from hickoryweir.forwarding import resumption
from hickoryweir.forwarding.tests import test_split_streams
from hickoryweir.forwarding_policy import stream_versions

STREAM_LIFETIME_S = 60.0


def test_new_replica_is_told_where_streams_of_a_split_route_began():
    """Guards against streams that no router can resume once the replicas are new."""

    async def main():
        entry_settings = settings.parse(test_first_table.SETTINGS, "a.ini").unwrap()
        process = router.Router(entry_settings, own_formats.make_adapters())
        forwarder, now_s = process.forwarder, clocks.boottime_s()
        resumption.apply_table(forwarder, test_split_streams.make_index(1, 1))
        for name in test_split_streams.SERVICES:
            origin = stream_versions.Origin(
                name,
                "v1",
                stream_versions.Source.OWN,
                now_s,
                now_s + STREAM_LIFETIME_S,
            )
            key = stream_versions.stream_key(name, "", "r-1")
            stream_versions.record_origin(forwarder.known_streams, key, origin)
        greeting = process._make_greeting()
        await process._close()
        return greeting

    told = {
        message.service_name
        for message in asyncio.run(main())
        if isinstance(message, messages.StreamOrigins)
    }
    assert told == set(test_split_streams.SERVICES)
