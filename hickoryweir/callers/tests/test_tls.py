"""TLS on the callers' port, and certificates that change while it serves."""

import asyncio
import contextlib
import os
import ssl

import aiohttp

from hickoryweir.callers import server
from hickoryweir.callers.tests import exchanges, fakes
from hickoryweir.testing import certificates


def write_certificate(folder):
    """Write a certificate of the callers' port; return it as DER."""
    return certificates.write_certificate(folder, "callers").der


def make_ports(folder, **limits):
    return fakes.make_ports(
        plain_text=False,
        certificate_file=folder / "callers.crt",
        key_file=folder / "callers.key",
        **limits,
    )


@contextlib.asynccontextmanager
async def serving(folder):
    running = await server.start(make_ports(folder))
    try:
        yield running.port
    finally:
        await server.stop(running)


def trusting_context():
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


async def shown_certificate(port):
    """Return the certificate that the port shows, as DER."""
    _, writer = await asyncio.open_connection("127.0.0.1", port, ssl=trusting_context())
    shown = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.transport.abort()
    return shown


def test_calls_are_served_over_tls(tmp_path):
    write_certificate(tmp_path)

    async def run():
        connector = aiohttp.TCPConnector(ssl=trusting_context())
        async with (
            serving(tmp_path) as port,
            aiohttp.ClientSession(connector=connector) as session,
            session.get(f"https://127.0.0.1:{port}/healthz") as response,
        ):
            return response.status

    assert asyncio.run(run()) == 200


def test_plain_text_is_not_served_on_a_tls_port(tmp_path):
    write_certificate(tmp_path)

    async def run():
        async with serving(tmp_path) as port, aiohttp.ClientSession() as session:
            try:
                async with session.get(f"http://127.0.0.1:{port}/healthz") as response:
                    return response.status
            except aiohttp.ClientError:
                return None

    assert asyncio.run(run()) != 200


def test_a_changed_certificate_is_shown_without_a_restart(tmp_path, monkeypatch):
    monkeypatch.setattr(server, "RELOAD_INTERVAL_S", 0.05)
    first = write_certificate(tmp_path)

    async def run():
        async with serving(tmp_path) as port, asyncio.timeout(30):
            before = await shown_certificate(port)
            second = write_certificate(tmp_path)
            for name in ("callers.crt", "callers.key"):
                os.utime(tmp_path / name, ns=(1, 1))
            while True:
                shown = await shown_certificate(port)
                if shown != before:
                    return before, shown, second
                await asyncio.sleep(0.05)

    before, shown, second = asyncio.run(run())
    assert before == first
    assert shown == second


def test_a_handshake_that_never_begins_is_cut(tmp_path):
    write_certificate(tmp_path)

    async def run():
        given = make_ports(tmp_path, body_timeout_s=0.2)
        async with exchanges.listening(given) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            with contextlib.suppress(ConnectionError):
                await asyncio.wait_for(reader.read(), exchanges.REPLY_LIMIT_S)
            writer.close()

    asyncio.run(run())


def test_a_connection_amid_its_handshake_counts(tmp_path):
    write_certificate(tmp_path)

    async def run():
        given = make_ports(tmp_path, max_connections=1)
        async with exchanges.listening(given) as port:
            _, silent = await asyncio.open_connection("127.0.0.1", port)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, ssl=trusting_context()
            )
            received = await exchanges.receive(reader, exchanges.REPLY_LIMIT_S)
            writer.close()
            silent.close()
            return received

    assert b"too_many_connections" in asyncio.run(run())
