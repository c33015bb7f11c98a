"""Shortens the imports of a process that uses no TLS towards its peers.

``aiohttp`` loads the system's certificate store when it is imported, which takes about
a fifth of the time that a router needs to start.  This module imports nothing that
loads slowly.
"""

import os

CERTIFICATE_FILE_VARIABLE = "SSL_CERT_FILE"


def omit_certificate_store() -> None:
    """Make TLS contexts of this process trust no certificate authority by default.

    Call it before the first import of ``aiohttp``, and only in a process that opens no
    TLS connection with the system's certificates.
    """
    os.environ[CERTIFICATE_FILE_VARIABLE] = os.devnull
