"""TLS on the operators' port."""

import asyncio
import datetime
import ipaddress

import cryptography.hazmat.primitives.serialization as serialization
from aiohttp import web
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from hickoryweir.configuration import settings
from hickoryweir.operators import client, documents, server

HOST = "127.0.0.1"
RELOAD_INTERVAL_S = 0.02
TRIES = 500


def write_certificate(folder):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "operators")])
    start = datetime.datetime(2020, 1, 1)
    address = x509.IPAddress(ipaddress.ip_address(HOST))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=365 * 80))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / "port.crt").write_bytes(certificate.public_bytes(pem))
    (folder / "port.key").write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


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


def test_port_speaks_tls_and_takes_a_changed_certificate(tmp_path):
    write_certificate(tmp_path)
    first = tmp_path / "first.crt"
    first.write_bytes((tmp_path / "port.crt").read_bytes())
    values = settings.Operators(
        HOST,
        0,
        certificate_file=tmp_path / "port.crt",
        key_file=tmp_path / "port.key",
    )

    async def scenario():
        running = await server.start(make_app(), values, RELOAD_INTERVAL_S)
        url = f"https://{HOST}:{running.port}"
        try:
            assert await is_trusted(url, first)
            write_certificate(tmp_path)
            for _ in range(TRIES):
                if await is_trusted(url, tmp_path / "port.crt"):
                    return not await is_trusted(url, first)
                await asyncio.sleep(RELOAD_INTERVAL_S)
            return False
        finally:
            await server.stop(running)

    assert asyncio.run(scenario())
