"""Requests that arrive together, and those that come beside them."""

import asyncio

from hickoryweir.forwarding import request_starts
from hickoryweir.forwarding_policy import start_pacing

COUNT = 20
ROUTE = "plain"
OTHER_ROUTE = "sound"


async def start_together(starts, order):
    """Return tasks that wait to start, and record their numbers when they have."""

    async def run(number):
        await request_starts.wait(starts, ROUTE)
        order.append(number)

    tasks = [asyncio.create_task(run(number)) for number in range(COUNT)]
    await asyncio.sleep(0)
    return tasks


def test_a_request_alone_does_not_wait():
    """Guards against a delay where there is nothing to wait for."""

    async def main():
        starts = request_starts.RequestStarts()
        waits = request_starts.wait(starts, ROUTE)
        try:
            waits.send(None)
        except StopIteration:
            return True
        return False

    assert asyncio.run(main())


def test_requests_that_arrive_together_start_in_order_in_several_iterations():
    """Guards against a burst that holds up the event loop as a whole."""

    async def main():
        order, counts = [], []
        tasks = await start_together(request_starts.RequestStarts(), order)
        while not all(task.done() for task in tasks):
            counts.append(len(order))
            await asyncio.sleep(0)
        return order, [*counts, len(order)]

    order, counts = asyncio.run(main())
    assert order == list(range(COUNT))
    steps = [after - before for before, after in zip(counts, counts[1:], strict=False)]
    assert max(steps) <= start_pacing.MAX_COUNT
    assert counts[0] == 1


def test_requests_whose_clients_left_hold_up_no_other():
    """Guards against a turn that is lost with its request."""

    async def main():
        order = []
        tasks = await start_together(request_starts.RequestStarts(), order)
        for task in tasks[1:-1]:
            task.cancel()
        await asyncio.wait_for(tasks[-1], 1.0)
        return order

    assert asyncio.run(main()) == [0, COUNT - 1]


def test_a_burst_on_a_route_does_not_delay_another_route():
    """Guards against a request that waits for all that arrived before it."""

    async def main():
        starts, order = request_starts.RequestStarts(), []
        tasks = await start_together(starts, order)
        await request_starts.wait(starts, OTHER_ROUTE)
        started_count = len(order)
        await asyncio.gather(*tasks)
        return started_count

    assert asyncio.run(main()) <= 2 * start_pacing.MAX_COUNT
