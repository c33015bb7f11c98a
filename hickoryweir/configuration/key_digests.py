"""Digests of bearer keys, as the configuration and the settings store them."""

import hashlib


def digest_key(key: str) -> str:
    r"""Return the digest under which a key is stored: SHA-256, lower-case hex.

    An HTTP header that is not valid UTF-8 is decoded with surrogate escapes.  Such
    a key has a digest too, which matches that of no stored key.

    Examples
    --------
    >>> digest_key("secret")[:8]
    '2bb80d53'
    >>> len(digest_key("\udcff"))
    64
    """
    return hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
