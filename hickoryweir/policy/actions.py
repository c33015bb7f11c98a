"""Actions that the policy core returns and the daemon executes."""

import dataclasses

from hickoryweir.outcomes import refusals


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Start an attempt at a backend server.

    With ``resume``, the attempt continues after the tokens already sent to the
    caller; with ``hedge``, another attempt is still running.  The engine serves
    the lowest ``priority`` number first; it differs from the class's tier when
    the class is served on its floor credit.
    """

    request_id: str
    attempt: int
    backend_server: str
    resume: bool = False
    hedge: bool = False
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt at its backend server; the call itself continues."""

    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Send the caller its final refusal."""

    request_id: str
    refusal: refusals.Refusal


Action = Dispatch | CancelAttempt | Refuse
