"""Identity of the router process that holds a key: name and incarnation.

A router that was killed restarts under the same name, so the name alone does not
show whether the process of an attempt is still running.
"""

import dataclasses

SEPARATOR = "@"


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """One incarnation of a router process.

    Attributes
    ----------
    router : str
        Name of the router.
    incarnation : int
        Increases with each start; 0 if unknown.
    """

    router: str
    incarnation: int


def render(holder: Holder) -> str:
    """Return the holder as text for the ``router`` field of a claim.

    Examples
    --------
    >>> render(Holder("vm-1", 1700000000000))
    'vm-1@1700000000000'
    """
    return f"{holder.router}{SEPARATOR}{holder.incarnation}"


def parse(text: str) -> Holder:
    """Return the holder that a claim names; a bare name has incarnation 0.

    Examples
    --------
    >>> parse("vm-1@17")
    Holder(router='vm-1', incarnation=17)
    >>> parse("vm-1")
    Holder(router='vm-1', incarnation=0)
    """
    router, separator, incarnation = text.rpartition(SEPARATOR)
    if not separator or not incarnation.isdecimal():
        return Holder(text, 0)
    return Holder(router, int(incarnation))
