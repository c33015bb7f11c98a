"""Refusals as values: why a call was not served, and whether it ran.

A refusal carries one :class:`Reason`, whether the call was executed
(:class:`Ran`) and the recommended delay before a retry.

Examples
--------
>>> refusal = make_refusal(Reason.QUEUE_FULL, "queue of class summary is full", 2.0)
>>> refusal.ran, refusal.http_status
(<Ran.NO: 'no'>, 429)
"""

import dataclasses
import enum


class Ran(enum.StrEnum):
    """Whether a call was executed by a backend server."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


class Reason(enum.StrEnum):
    """Reasons for which a call is refused or ends without an answer."""

    AUTHENTICATION_MISSING = "authentication_missing"
    AUTHENTICATION_INVALID = "authentication_invalid"
    CLASS_UNKNOWN = "class_unknown"
    CLASS_FORBIDDEN = "class_forbidden"
    MODEL_UNKNOWN = "model_unknown"
    SERVICE_UNKNOWN = "service_unknown"
    PATH_UNKNOWN = "path_unknown"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_INVALID = "body_invalid"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    CLIENT_TOO_SLOW = "client_too_slow"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_KEY_INVALID = "idempotency_key_invalid"
    IDEMPOTENCY_KEY_EXPIRED = "idempotency_key_expired"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    ATTEMPT_IN_PROGRESS = "attempt_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    CLAIMS_FULL = "claims_full"
    NO_QUORUM = "no_quorum"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    TOKENS_LIMITED = "tokens_limited"
    QUEUE_FULL = "queue_full"
    SHED = "shed"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_BACKEND_SERVER = "no_backend_server"
    RETRIES_EXHAUSTED = "retries_exhausted"
    QUARANTINED = "quarantined"
    BACKEND_REFUSED = "backend_refused"
    BACKEND_FAILED = "backend_failed"
    STREAM_CUT = "stream_cut"
    RESPONSE_MISMATCHED = "response_mismatched"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    CALLER_LEFT = "caller_left"
    INTERNAL_ERROR = "internal_error"


HTTP_STATUS = {
    Reason.AUTHENTICATION_MISSING: 401,
    Reason.AUTHENTICATION_INVALID: 401,
    Reason.CLASS_UNKNOWN: 400,
    Reason.CLASS_FORBIDDEN: 403,
    Reason.MODEL_UNKNOWN: 404,
    Reason.SERVICE_UNKNOWN: 404,
    Reason.PATH_UNKNOWN: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.BODY_INVALID: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.TOO_MANY_CONNECTIONS: 503,
    Reason.CLIENT_TOO_SLOW: 408,
    Reason.IDEMPOTENCY_KEY_MISSING: 400,
    Reason.IDEMPOTENCY_KEY_INVALID: 400,
    Reason.IDEMPOTENCY_KEY_EXPIRED: 422,
    Reason.IDEMPOTENCY_KEY_REUSED: 422,
    Reason.ATTEMPT_IN_PROGRESS: 409,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.ANSWER_NOT_KEPT: 409,
    Reason.CLAIMS_FULL: 429,
    Reason.NO_QUORUM: 503,
    Reason.RATE_LIMITED: 429,
    Reason.CONCURRENCY_LIMITED: 429,
    Reason.TOKENS_LIMITED: 429,
    Reason.QUEUE_FULL: 429,
    Reason.SHED: 503,
    Reason.DEADLINE_UNREACHABLE: 503,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.NO_BACKEND_SERVER: 503,
    Reason.RETRIES_EXHAUSTED: 502,
    Reason.QUARANTINED: 422,
    Reason.BACKEND_REFUSED: 502,
    Reason.BACKEND_FAILED: 502,
    Reason.STREAM_CUT: 502,
    Reason.RESPONSE_MISMATCHED: 502,
    Reason.DRAINING: 503,
    Reason.NOT_READY: 503,
    Reason.CALLER_LEFT: 499,
    Reason.INTERNAL_ERROR: 500,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why a call got no answer, and whether and when to retry it.

    Attributes
    ----------
    reason : Reason
        Reason of the refusal.
    message : str
        One sentence for the caller; contains no key, token or body.
    ran : Ran
        Whether the call was executed.
    retry_after_s : float or None
        Recommended delay before a retry; None if a retry is pointless.
    """

    reason: Reason
    message: str
    ran: Ran
    retry_after_s: float | None

    @property
    def http_status(self) -> int:
        """Return the HTTP status of the reason."""
        return HTTP_STATUS[self.reason]


def make_refusal(
    reason: Reason,
    message: str,
    retry_after_s: float | None = None,
    ran: Ran = Ran.NO,
) -> Refusal:
    """Return a refusal; by default the call did not run.

    Parameters
    ----------
    reason : Reason
        Reason of the refusal.
    message : str
        One sentence for the caller.
    retry_after_s : float, optional
        Recommended delay before a retry; None if a retry is pointless.
    ran : Ran, optional
        Whether the call was executed.

    Returns
    -------
    Refusal
        The refusal.
    """
    return Refusal(reason, message, ran, retry_after_s)
