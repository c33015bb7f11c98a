"""Commands that routers propose to the log about idempotency keys.

Examples
--------
>>> outcome = NotRun("connection refused")
>>> RecordOutcome("school-7", "key-1", None, "attempt-1", outcome).outcome.reason
'connection refused'
"""

import dataclasses

from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Ask for the right to run the call with this key.

    Attributes
    ----------
    account, key : str
        Client account and its idempotency key; keys of accounts are separate.
    issued_at_s : float or None
        Unix time that the key carries; a pure function of the key.
    body_digest : bytes
        Digest of method, path and body.
    attempt_id : str
        Unique to one router's handling of one call.
    backend_server, router : str
        Where the call will be dispatched, and who dispatches it.
    """

    account: str
    key: str
    issued_at_s: float | None
    body_digest: bytes
    attempt_id: str
    backend_server: str
    router: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The backend server ran the call and gave this whole answer."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnsweredUnkept:
    """The backend server ran the call; its answer is too large to be kept."""

    status: int
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The call certainly did not run, or was never dispatched."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """At least one byte was sent and no whole answer came back."""

    reason: str


Outcome = Answered | AnsweredUnkept | NotRun | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Record how an attempt ended.

    A :class:`NotRun` may come before the attempt's own claim: the claim is then
    refused when it arrives late.
    """

    account: str
    key: str
    issued_at_s: float | None
    attempt_id: str
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class SetRetention:
    """Keep records for ``retention_s`` from now on.

    Keys that were already refused as expired stay refused.

    Attributes
    ----------
    retention_s : float
        The new retention.
    configuration_version : int
        Where it stands; a lower one than the last is ignored.
    """

    retention_s: float
    configuration_version: int


Command = Claim | RecordOutcome | SetRetention

codec.register("claims.answered", Answered)
codec.register("claims.answered_unkept", AnsweredUnkept)
codec.register("claims.not_run", NotRun)
codec.register("claims.unknown", Unknown)
codec.register("claims.claim", Claim)
codec.register("claims.record_outcome", RecordOutcome)
codec.register("claims.set_retention", SetRetention)
