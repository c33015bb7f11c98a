"""Limits of a new table on connections that were opened under an earlier one."""

import asyncio
import dataclasses

import pytest

from hickoryweir.forwarding import headers, resumption
from hickoryweir.forwarding.tests import sites
from hickoryweir.routes import matching, model

HOST = sites.HOST
MAX_HEADER_SIZE_BYTES = 128 * 1024
# As large as one field may be for the stand-in of a server.
FIELD_SIZE_BYTES = 8_000
FIELDS_COUNT = 12


def make_head(number: int, fields_count: int = 0) -> bytes:
    """Return a request without a body."""
    value = "x" * FIELD_SIZE_BYTES
    fields = "".join(f"X-Field-{i}: {value}\r\n" for i in range(fields_count))
    return (
        f"GET /chat/{number} HTTP/1.1\r\nHost: site.example\r\n"
        f"{headers.REQUEST_ID}: r-{number}\r\n{fields}\r\n"
    ).encode()


@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
def test_larger_limit_of_headers_holds_on_a_connection(is_kept):
    async def main():
        async with sites.run_site([sites.answering()]) as site:
            reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(1))
            await reader.readuntil(b"whole")
            limits = model.Limits(max_header_size_bytes=MAX_HEADER_SIZE_BYTES)
            earlier = site.forwarder.route_index.table
            table = dataclasses.replace(
                earlier, version=earlier.version + 1, limits=limits
            )
            resumption.apply_table(site.forwarder, matching.make_index(table))
            if not is_kept:
                writer.close()
                reader, writer = await asyncio.open_connection(HOST, site.port)
            writer.write(make_head(2, FIELDS_COUNT))
            status_line = await reader.readline()
            writer.close()
            return status_line

    assert asyncio.run(main()).startswith(b"HTTP/1.1 200 ")
