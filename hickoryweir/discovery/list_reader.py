"""Reads the list of servers again and again, within the rate that the list allows.

``docs/design/outside-bytes.md`` has the bounds and the time of a read of many pages.
"""

import asyncio
import dataclasses
import time

import aiohttp
from returns import result

from hickoryweir.discovery import listing
from hickoryweir.duties import call_rate
from hickoryweir.engines import backoff
from hickoryweir.observability import logs

# A list may grow by these between two reads: to twice its pages, and by 1,000 servers
# with 50 entries a page.
GROWTH_FACTOR = 2
GROWTH_PAGES_COUNT = 20
# Entries of a list without a last page still show servers that leave.
MAX_PAUSE_S = 2.0


@dataclasses.dataclass(slots=True)
class ListReader:
    """State of the reads of one process.

    Attributes
    ----------
    bucket : call_rate.Bucket
        Bounds the pages of all reads in any second.
    max_pages_count : int
        Pages after which the next read is given up.
    given_up_count : int
        Reads in a row that were given up.
    waited_s : float
        How long the last read has waited for the rate.
    """

    bucket: call_rate.Bucket
    max_pages_count: int = listing.MAX_PAGES_COUNT
    given_up_count: int = 0
    waited_s: float = 0.0


def make_reader(calls_per_s: float) -> ListReader:
    """Return a reader that may read its first page at once.

    Parameters
    ----------
    calls_per_s : float
        The most pages in any second.
    """
    bucket = call_rate.make_bucket(calls_per_s, time.monotonic())
    return ListReader(dataclasses.replace(bucket, tokens=1.0))


def set_rate(reader: ListReader, calls_per_s: float) -> None:
    """Apply a changed rate."""
    changed = call_rate.make_bucket(calls_per_s, time.monotonic())
    reader.bucket.rate_per_s = changed.rate_per_s
    reader.bucket.max_tokens = changed.max_tokens


def next_pause_s(reader: ListReader, interval_s: float) -> float:
    """Return the time until the next read.

    What a read has waited for the rate counts; reads that are given up leave the rate
    to others.
    """
    if reader.given_up_count:
        name = "server list"
        return backoff.wait_s(interval_s, MAX_PAUSE_S, reader.given_up_count, name)
    return max(0.0, interval_s - reader.waited_s)


async def read(
    reader: ListReader,
    session: aiohttp.ClientSession,
    source: listing.Source,
    known: listing.ServerList | None,
) -> result.Result[listing.ServerList, str]:
    """Read the list; if no last page comes, add what was read to the known list.

    Parameters
    ----------
    reader : ListReader
        State of the reads.
    session, source
        See :func:`hickoryweir.discovery.listing.read_all`.
    known : ServerList or None
        The list in force.

    Returns
    -------
    Result of ServerList or str
        The list to put in force, or the reason why a page could not be read.
    """
    reader.waited_s = 0.0

    async def wait_for_page() -> None:
        await _wait_for_page(reader)

    reading = await listing.read_pages(
        session, source, wait_for_page, reader.max_pages_count
    )
    if reading.problem and not reading.has_no_end:
        reader.given_up_count = 0
        return result.Failure(reading.problem)
    reader.max_pages_count = min(
        listing.MAX_PAGES_COUNT,
        GROWTH_FACTOR * reading.useful_pages_count + GROWTH_PAGES_COUNT,
    )
    if reading.has_no_end:
        reader.given_up_count += 1
        detail = f"{reading.pages_count} pages, {len(reading.found.servers)} entries"
        fields = logs.Fields(reason=reading.problem, detail=detail)
        logs.warning("the list of servers has no last page; none is removed", fields)
        return result.Success(listing.add_to_list(known, reading.found))
    reader.given_up_count = 0
    return result.Success(reading.found)


async def _wait_for_page(reader: ListReader) -> None:
    """Return when the rate allows the next page."""
    while True:
        wait_s = call_rate.acquire(reader.bucket, time.monotonic())
        if not wait_s:
            return
        reader.waited_s += wait_s
        await asyncio.sleep(wait_s)
