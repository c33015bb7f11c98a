"""Mutual TLS with certificate files.

Processes are addressed by IP address, so the process name is verified instead of a
host name: it must be the common name or a DNS name of the certificate.
"""

import dataclasses
import ssl


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of the certificate and key of this process and of the CA certificate."""

    certificate_path: str
    key_path: str
    authority_path: str


def make_server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context for the accepting side; clients must present a certificate."""
    return _make_context(files, ssl.PROTOCOL_TLS_SERVER)


def make_client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a context for the connecting side."""
    return _make_context(files, ssl.PROTOCOL_TLS_CLIENT)


def certificate_names(certificate: dict) -> frozenset[str]:
    """Return the common name and DNS names in a certificate.

    Parameters
    ----------
    certificate : dict
        As returned by :meth:`ssl.SSLSocket.getpeercert`.

    Examples
    --------
    >>> subject = ((("commonName", "vm-1"),),)
    >>> sorted(certificate_names({"subject": subject}))
    ['vm-1']
    """
    common = {
        value
        for relative in certificate.get("subject", ())
        for key, value in relative
        if key == "commonName"
    }
    alternative = {
        value for kind, value in certificate.get("subjectAltName", ()) if kind == "DNS"
    }
    return frozenset(common | alternative)


def _make_context(files: TlsFiles, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(files.authority_path)
    context.load_cert_chain(files.certificate_path, files.key_path)
    return context
