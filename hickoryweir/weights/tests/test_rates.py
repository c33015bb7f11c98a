"""The shared rate towards the weight store."""

import asyncio

import hypothesis
from hypothesis import strategies as st

from hickoryweir.engines.tests import benches
from hickoryweir.testing import weight_store
from hickoryweir.weights import client, rates


def test_large_load_leaves_a_debt():
    bucket = rates.make_bucket(10.0, 100.0, 0.0)
    bucket, granted = rates.take(bucket, 1000.0, 0.0)
    assert granted
    assert rates.ready_at_s(bucket, 1.0) == 90.1


def test_clock_going_backwards_adds_no_bytes():
    bucket, _ = rates.take(rates.make_bucket(10.0, 100.0, 50.0), 100.0, 50.0)
    assert not rates.take(bucket, 1.0, 0.0)[1]


def test_bucket_without_capacity_grants_nothing():
    bucket, granted = rates.take(rates.make_bucket(0.0, 0.0, 0.0), 1.0, 100.0)
    assert not granted
    assert bucket.available_bytes == 0.0


STEPS = st.lists(st.tuples(st.floats(0.0, 10.0), st.floats(0.0, 300.0)), max_size=30)


@hypothesis.given(STEPS)
@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=100)
def test_rate_is_kept_over_any_span(steps):
    bucket, now_s, granted_bytes, last_bytes = rates.make_bucket(10, 100, 0), 0.0, 0, 0
    for wait_s, size_bytes in steps:
        now_s += wait_s
        bucket, granted = rates.take(bucket, size_bytes, now_s)
        if granted:
            granted_bytes += size_bytes
            last_bytes = size_bytes
    assert granted_bytes - last_bytes <= 100 + 10 * now_s + 1e-6


def test_rate_status_of_the_stand_in():
    async def test():
        wanted = weight_store.WeightStoreSettings(rate_bytes_per_s=5.0, burst_bytes=7.0)
        async with benches.app_bench(weight_store.make_app(wanted)) as bench:
            status = await client.fetch_rate(bench.session, bench.server.url)
        assert status.unwrap().rate_bytes_per_s == 5.0

    asyncio.run(test())
