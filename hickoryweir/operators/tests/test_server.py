"""TLS and the stop of the operators' interface."""

import asyncio

from aiohttp import web

from hickoryweir.configuration import settings
from hickoryweir.operators import client, documents, server
from hickoryweir.testing import certificates

HOST = "127.0.0.1"
RELOAD_INTERVAL_S = 0.02
MAX_ATTEMPTS_COUNT = 500
REST_DELAY_S = 0.2


def write_certificate(folder):
    certificates.write_certificate(folder, "port", address=HOST)


def make_app():
    async def answer(request):
        return web.json_response({"days": [], "entries": []})

    app = web.Application()
    app.router.add_get("/history", answer)
    return app


async def is_trusted(url, authority_file):
    access = client.Access((url,), "key", str(authority_file))
    outcome = await client.request(access, "GET", "/history", documents.HistoryDocument)
    return outcome.map(lambda found: True).value_or(False)


def test_port_serves_tls_and_reloads_a_changed_certificate(tmp_path):
    write_certificate(tmp_path)
    first = tmp_path / "first.crt"
    first.write_bytes((tmp_path / "port.crt").read_bytes())
    values = settings.Operators(
        HOST,
        0,
        certificate_file=tmp_path / "port.crt",
        key_file=tmp_path / "port.key",
    )

    async def run():
        running = await server.start(make_app(), values, RELOAD_INTERVAL_S)
        url = f"https://{HOST}:{running.port}"
        try:
            assert await is_trusted(url, first)
            write_certificate(tmp_path)
            for _ in range(MAX_ATTEMPTS_COUNT):
                if await is_trusted(url, tmp_path / "port.crt"):
                    return not await is_trusted(url, first)
                await asyncio.sleep(RELOAD_INTERVAL_S)
            return False
        finally:
            await server.stop(running)

    assert asyncio.run(run())


def test_body_that_arrives_during_a_stop_is_not_discarded():
    head = b"POST /changes HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"

    async def answer(request):
        return web.Response(body=await request.read())

    async def run():
        app = web.Application()
        app.router.add_post("/changes", answer)
        running = await server.start(app, settings.Operators(HOST, 0, plain_text=True))
        reader, writer = await asyncio.open_connection(HOST, running.port)
        writer.write(head + b"bo")
        await asyncio.sleep(REST_DELAY_S)
        stopping = asyncio.create_task(server.stop(running))
        await asyncio.sleep(REST_DELAY_S)
        writer.write(b"dy")
        received = await reader.read()
        await stopping
        writer.close()
        return received.partition(b"\r\n\r\n")

    received_head, _, body = asyncio.run(run())
    assert body == b"body"
    assert b"\r\nConnection: close" in received_head
