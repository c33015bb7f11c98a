"""Change ids: the time of issue in milliseconds and a random part.

A resend has the same id and therefore the same time of issue.

Examples
--------
>>> issued_at_s(make(12.5, "ab12"))
12.5
>>> issued_at_s("nonsense") is None
True
"""

import math
import secrets

RANDOM_SIZE_BYTES = 8
MAX_LENGTH = 64
MILLISECONDS_PER_SECOND = 1000


def make(now_s: float, random_part: str | None = None) -> str:
    """Return a new change id for the Unix time `now_s`."""
    random_part = random_part or secrets.token_hex(RANDOM_SIZE_BYTES)
    return f"{math.floor(now_s * MILLISECONDS_PER_SECOND)}-{random_part}"


def issued_at_s(change_id: str) -> float | None:
    """Return the Unix time of issue in a change id; None if it is malformed."""
    number, separator, random_part = change_id.partition("-")
    if not (separator and random_part and number.isascii() and number.isdigit()):
        return None
    if len(change_id) > MAX_LENGTH:
        return None
    return int(number) / MILLISECONDS_PER_SECOND
