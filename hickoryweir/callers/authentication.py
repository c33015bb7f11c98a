"""Authentication of callers by bearer key.

Only SHA-256 digests of keys are stored.  A digest is looked up by its keyed hash
under a secret of this process, so that the lookup time reveals nothing about the
stored digests; it is then compared in constant time.

Examples
--------
>>> from hickoryweir.configuration import key_digests, model
>>> digest = key_digests.digest_key("secret")
>>> school = model.Account("school", (digest,), ("balance",), 1, 1, 1, 1, 1)
>>> directory = make_directory((school,))
>>> authenticate(directory, "Bearer secret").unwrap().name
'school'
"""

import dataclasses
import hashlib
import hmac
import secrets

from returns import result

from hickoryweir.configuration import key_digests, model
from hickoryweir.outcomes import refusals

SECRET_SIZE_BYTES = 32
SCHEME = "Bearer "


@dataclasses.dataclass(frozen=True, slots=True)
class Credential:
    """A stored key digest and its account."""

    key_digest: str
    account: model.Account


@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """Credentials by the keyed hash of their key digest."""

    secret: bytes
    credentials: dict[bytes, Credential]


def index_digest(secret: bytes, key_digest: str) -> bytes:
    """Return the keyed hash under which a directory holds a key digest."""
    return hashlib.blake2b(key_digest.encode(), key=secret, digest_size=16).digest()


def make_directory(accounts: tuple[model.Account, ...]) -> Directory:
    """Return the directory of the keys of all accounts.

    Parameters
    ----------
    accounts : tuple of model.Account
        Accounts of the configuration in force.

    Returns
    -------
    Directory
        Argument of :func:`authenticate`.
    """
    secret = secrets.token_bytes(SECRET_SIZE_BYTES)
    credentials = {
        index_digest(secret, key_digest): Credential(key_digest, account)
        for account in accounts
        for key_digest in account.key_digests
    }
    return Directory(secret, credentials)


def authenticate(
    directory: Directory, header: str | None
) -> result.Result[model.Account, refusals.Refusal]:
    """Return the account of the key in an ``Authorization`` header.

    Parameters
    ----------
    directory : Directory
        Credentials of all accounts.
    header : str or None
        Value of the header.

    Returns
    -------
    Result of model.Account, or of Refusal
        ``AUTHENTICATION_MISSING`` or ``AUTHENTICATION_INVALID``.
    """
    if not header or not header.startswith(SCHEME):
        return result.Failure(
            refusals.make_refusal(
                refusals.Reason.AUTHENTICATION_MISSING,
                "the header Authorization: Bearer KEY is missing",
            )
        )
    key_digest = key_digests.digest_key(header[len(SCHEME) :].strip())
    found = directory.credentials.get(index_digest(directory.secret, key_digest))
    if found is None or not hmac.compare_digest(found.key_digest, key_digest):
        return result.Failure(
            refusals.make_refusal(refusals.Reason.AUTHENTICATION_INVALID, "unknown key")
        )
    return result.Success(found.account)
