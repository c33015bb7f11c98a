"""Validation of the ``Idempotency-Key`` header and the issue time in a key.

Two formats contain the issue time: ``t<unix seconds>-<random>`` and UUID version 7.
Any other key is accepted as untimed.  A digest of each untimed key is stored without
expiry, so an account may use only a limited number of them.

Examples
--------
>>> parse_key("t1764800000-5f0c9a7e61d24c55").unwrap().issued_at_s
1764800000.0
>>> parse_key("order 17").failure().reason
<Reason.IDEMPOTENCY_KEY_INVALID: 'idempotency_key_invalid'>
"""

import dataclasses
import hashlib
import re
import secrets
import uuid

from returns import result

from hickoryweir.outcomes import refusals

KEY_LENGTH_MAX = 255
RANDOM_BYTES = 12
UUID_TIMED_VERSION = 7
UUID_TIMESTAMP_SHIFT_BITS = 80
MILLISECONDS_PER_SECOND = 1000
KEY_PATTERN = re.compile(r"[\x21-\x7e]+")
TIMED_PATTERN = re.compile(r"t(\d{10})-[\x21-\x7e]{16,}")
UUID_PATTERN = re.compile(r"[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}")


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A valid key and its issue time in Unix seconds; None if it has none."""

    text: str
    issued_at_s: float | None


def parse_key(header: str | None) -> result.Result[Key, refusals.Refusal]:
    """Validate the value of an ``Idempotency-Key`` header.

    Parameters
    ----------
    header : str or None
        Value as received; None if the header is absent.

    Returns
    -------
    Result of Key or Refusal
        The key, or the refusal of the call.
    """
    if not header:
        return result.Failure(
            refusals.make_refusal(
                refusals.Reason.IDEMPOTENCY_KEY_MISSING,
                "a non-idempotent call needs the header Idempotency-Key",
            )
        )
    if len(header) > KEY_LENGTH_MAX or not KEY_PATTERN.fullmatch(header):
        return result.Failure(
            refusals.make_refusal(
                refusals.Reason.IDEMPOTENCY_KEY_INVALID,
                f"an idempotency key has 1 to {KEY_LENGTH_MAX} printable ASCII "
                "characters and no space",
            )
        )
    return result.Success(Key(header, issue_time_s(header)))


def issue_time_s(text: str) -> float | None:
    """Return the issue time in a key, or None.

    Examples
    --------
    >>> issue_time_s("019ae6f2-1c00-7000-8000-000000000000")
    1764811217.92
    >>> issue_time_s("stainless-python-retry-1b9d6bcd") is None
    True
    """
    timed = TIMED_PATTERN.fullmatch(text)
    if timed:
        return float(timed.group(1))
    if not UUID_PATTERN.fullmatch(text):
        return None
    parsed = uuid.UUID(text)
    if parsed.version != UUID_TIMED_VERSION:
        return None
    milliseconds = parsed.int >> UUID_TIMESTAMP_SHIFT_BITS
    return milliseconds / MILLISECONDS_PER_SECOND


def make_key(now_s: float) -> str:
    """Return a new random key with the issue time ``now_s``."""
    return f"t{int(now_s):010d}-{secrets.token_hex(RANDOM_BYTES)}"


def digest_call(method: str, path: str, body: bytes) -> bytes:
    """Return the digest by which a key is bound to one call.

    Examples
    --------
    >>> digest_call("POST", "/a", b"1") == digest_call("POST", "/a", b"2")
    False
    """
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
