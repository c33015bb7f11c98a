"""Digests of bearer keys, as the configuration and the settings store them."""

import hashlib


def digest_key(key: str) -> str:
    r"""Return the digest under which a key is stored: SHA-256, lower-case hex.

    A key that is not UTF-8 comes from HTTP with surrogate escapes; it has a
    digest too, which no stored key has.

    Examples
    --------
    >>> digest_key("secret")[:8]
    '2bb80d53'
    >>> len(digest_key("\udcff"))
    64
    """
    return hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
