"""Violations that the oracles of the drill and the soak report."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee (``promise``) and the observation that shows it."""

    promise: str
    detail: str
