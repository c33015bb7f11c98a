"""TLS at the callers' interface, and reloading of changed certificates."""

import asyncio
import contextlib
import os
import ssl

import aiohttp

from hickoryweir.callers import server
from hickoryweir.callers.tests import exchanges, fakes
from hickoryweir.testing import certificates


def write_certificate(folder):
    """Write a certificate for the server and return it as DER."""
    return certificates.write_certificate(folder, "callers").der


def make_tls_daemon(folder, **limits):
    return fakes.make_daemon(
        plain_text=False,
        certificate_file=folder / "callers.crt",
        key_file=folder / "callers.key",
        **limits,
    )


@contextlib.asynccontextmanager
async def serving(folder):
    running = await server.start(make_tls_daemon(folder))
    try:
        yield running.port
    finally:
        await server.stop(running)


def make_unverified_context():
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


async def read_served_certificate(port):
    """Return the certificate that the server presents, as DER."""
    _, writer = await asyncio.open_connection(
        "127.0.0.1", port, ssl=make_unverified_context()
    )
    served = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.transport.abort()
    return served


def test_calls_are_served_over_tls(tmp_path):
    write_certificate(tmp_path)

    async def run():
        connector = aiohttp.TCPConnector(ssl=make_unverified_context())
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


def test_changed_certificate_is_served_without_a_restart(tmp_path, monkeypatch):
    monkeypatch.setattr(server, "RELOAD_INTERVAL_S", 0.05)
    first = write_certificate(tmp_path)

    async def run():
        async with serving(tmp_path) as port, asyncio.timeout(30):
            before = await read_served_certificate(port)
            second = write_certificate(tmp_path)
            for name in ("callers.crt", "callers.key"):
                os.utime(tmp_path / name, ns=(1, 1))
            while True:
                served = await read_served_certificate(port)
                if served != before:
                    return before, served, second
                await asyncio.sleep(0.05)

    before, served, second = asyncio.run(run())
    assert before == first
    assert served == second


def test_connection_without_a_tls_handshake_is_closed(tmp_path):
    write_certificate(tmp_path)

    async def run():
        daemon = make_tls_daemon(tmp_path, body_timeout_s=0.2)
        async with exchanges.listening(daemon) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            with contextlib.suppress(ConnectionError):
                await asyncio.wait_for(reader.read(), exchanges.RESPONSE_TIMEOUT_S)
            writer.close()

    asyncio.run(run())


def test_connection_in_its_tls_handshake_counts_towards_the_limit(tmp_path):
    write_certificate(tmp_path)

    async def run():
        daemon = make_tls_daemon(tmp_path, max_connections=1)
        async with exchanges.listening(daemon) as port:
            _, stalled_writer = await asyncio.open_connection("127.0.0.1", port)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, ssl=make_unverified_context()
            )
            received = await exchanges.receive(reader, exchanges.RESPONSE_TIMEOUT_S)
            writer.close()
            stalled_writer.close()
            return received

    assert b"too_many_connections" in asyncio.run(run())
