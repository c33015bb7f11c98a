"""Commands on idempotency keys that routers propose to the replicated log.

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
    """Request the exclusive right to run the call with this key.

    Attributes
    ----------
    account, key : str
        Client account and idempotency key; each account has its own namespace.
    issued_at_s : float or None
        Unix time encoded in the key, or None; a pure function of the key.
    body_digest : bytes
        Digest of method, path and body.
    attempt_id : str
        Unique for each attempt of a router to run a call.
    backend_server, router : str
        Destination of the call, and the router process that dispatches it.
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
    """The backend server ran the call and returned this complete answer."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AnsweredUnkept:
    """The backend server ran the call; its answer is too large to be stored."""

    status: int
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The call is certain not to have run, or was never dispatched."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """At least one byte was sent and no complete answer was received."""

    reason: str


Outcome = Answered | AnsweredUnkept | NotRun | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Record how an attempt ended.

    A :class:`NotRun` may be committed before the claim of the same attempt; the
    delayed claim is then refused.
    """

    account: str
    key: str
    issued_at_s: float | None
    attempt_id: str
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class SetRetention:
    """Set the retention of records to ``retention_s``.

    Keys that have already expired stay refused.

    Attributes
    ----------
    retention_s : float
        The new retention.
    configuration_version : int
        Version of the configuration that contains it; the command is ignored
        if a later version was applied.
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
