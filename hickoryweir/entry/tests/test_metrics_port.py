"""The metrics port."""

import asyncio

import aiohttp

from hickoryweir.entry import metrics_port
from hickoryweir.observability import forwarding_metrics, latencies


def test_metrics_are_served_as_text():
    async def main():
        process_metrics = forwarding_metrics.make_metrics()
        process_metrics.answers.labels("chat", "no_server").inc()
        process_metrics.latencies.record("chat", latencies.Interval.ANSWER, 0.2)
        port = await metrics_port.start(process_metrics, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{port}"
        async with aiohttp.ClientSession() as session:
            async with session.get(f"{url}/metrics") as response:
                text = await response.text()
            async with session.get(f"{url}/other") as response:
                return text, response.status

    text, status = asyncio.run(main())
    assert 'hickoryweir_answers_total{reason="no_server",route="chat"} 1.0' in text
    assert (
        'hickoryweir_latency_seconds_count{class="chat",interval="answer"} 1.0' in text
    )
    assert status == 404
