"""Actions that the policy core asks the daemon to carry out."""

import dataclasses

from hickoryweir.outcomes import refusals


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Start an attempt at a backend server.

    ``resume`` says that the attempt goes on from the tokens already sent to
    the caller; ``hedge`` that another attempt is still running.  ``priority``
    is for the engine, the lowest number first; it differs from the class's
    tier when the class is served on its floor share.
    """

    request_id: str
    attempt: int
    backend_server: str
    resume: bool = False
    hedge: bool = False
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt at its backend server; the call itself goes on."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Give the caller its final refusal now."""

    request_id: str
    refusal: refusals.Refusal


Action = Dispatch | CancelAttempt | Refuse
