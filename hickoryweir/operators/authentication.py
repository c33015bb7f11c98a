"""Authentication and authorization of operators.

Examples
--------
>>> from hickoryweir.configuration import key_digests, settings
>>> read = settings.Permission.READ
>>> ann = settings.Operator("ann", (key_digests.digest_key("k"),), (read,))
>>> authenticate((ann,), "Bearer k", read).unwrap()
'ann'
>>> authenticate((ann,), "Bearer x", read).failure().reason
<Reason.AUTHENTICATION_INVALID: 'authentication_invalid'>
"""

import hmac

from returns import result

from hickoryweir.configuration import key_digests, settings
from hickoryweir.operators import documents

SCHEME = "Bearer "


def authenticate(
    operators: tuple[settings.Operator, ...],
    header: str | None,
    permission: settings.Permission,
) -> result.Result[str, documents.RefusalDocument]:
    """Return the operator's name, or a refusal.

    Parameters
    ----------
    operators : tuple of settings.Operator
        Known operators.
    header : str or None
        The ``Authorization`` header.
    permission : settings.Permission
        Permission that the request requires.

    Returns
    -------
    Result of str or RefusalDocument
        All digests are compared, each in constant time.
    """
    if header is None or not header.startswith(SCHEME):
        return _refuse(
            documents.Reason.AUTHENTICATION_MISSING,
            "the header Authorization: Bearer KEY is missing",
        )
    presented_digest = key_digests.digest_key(header.removeprefix(SCHEME))
    matching = [
        operator
        for operator in operators
        for digest in operator.key_sha256
        if hmac.compare_digest(digest, presented_digest)
    ]
    if not matching:
        return _refuse(documents.Reason.AUTHENTICATION_INVALID, "unknown key")
    if permission not in matching[0].permissions:
        message = f"operator {matching[0].name} lacks the permission {permission}"
        return _refuse(documents.Reason.PERMISSION_MISSING, message)
    return result.Success(matching[0].name)


def _refuse(reason, message):
    return result.Failure(documents.RefusalDocument(reason, message))
