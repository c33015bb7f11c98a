"""Certificate authorities for tests and trials, and certificates they sign."""

import dataclasses
import datetime
import ipaddress
import pathlib

import cryptography.hazmat.primitives.serialization as serialization
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

VALID_FROM = datetime.datetime(2020, 1, 1)
VALIDITY = datetime.timedelta(days=365 * 80)


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedCertificate:
    """A certificate with its key, written to `NAME.crt` and `NAME.key`.

    Attributes
    ----------
    der : bytes
        The certificate in DER encoding, as a TLS peer presents it.
    """

    subject: x509.Name
    key: ec.EllipticCurvePrivateKey
    der: bytes


def write_certificate(
    folder: pathlib.Path,
    name: str,
    authority: IssuedCertificate | None = None,
    address: str = "",
) -> IssuedCertificate:
    """Create a certificate and write it and its private key to a folder.

    Parameters
    ----------
    folder : path
        Folder of the files `NAME.crt` and `NAME.key`.
    name : str
        Common name, and stem of the file names.
    authority : IssuedCertificate, optional
        Issuer of the certificate; without one it is self-signed.
    address : str, optional
        IP address for the subject alternative name.

    Returns
    -------
    IssuedCertificate
        The certificate, which can be the authority of others if it is self-signed.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
    issuer = authority.subject if authority else subject
    signing_key = authority.key if authority else key
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(VALID_FROM)
        .not_valid_after(VALID_FROM + VALIDITY)
        .add_extension(x509.BasicConstraints(authority is None, None), critical=True)
    )
    if address:
        names = [x509.IPAddress(ipaddress.ip_address(address))]
        builder = builder.add_extension(
            x509.SubjectAlternativeName(names), critical=False
        )
    certificate = builder.sign(signing_key, hashes.SHA256())
    pem = serialization.Encoding.PEM
    (folder / f"{name}.crt").write_bytes(certificate.public_bytes(pem))
    private_key_pem = key.private_bytes(
        pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    (folder / f"{name}.key").write_bytes(private_key_pem)
    der = certificate.public_bytes(serialization.Encoding.DER)
    return IssuedCertificate(subject, key, der)
