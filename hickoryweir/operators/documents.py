"""JSON documents of the operators' interface, shared by server and client."""

import dataclasses
import enum
from typing import Annotated, Any

import pydantic

from hickoryweir.configuration import commands

MAX_WAIT_S = 60.0
ChangeId = Annotated[str, pydantic.Field(min_length=1, max_length=64)]
WaitSeconds = Annotated[float, pydantic.Field(ge=0, le=MAX_WAIT_S)]
Version = Annotated[int, pydantic.Field(ge=0)]


class Reason(enum.StrEnum):
    """Reasons for refusing an operator's request."""

    AUTHENTICATION_MISSING = "authentication_missing"
    AUTHENTICATION_INVALID = "authentication_invalid"
    PERMISSION_MISSING = "permission_missing"
    BODY_INVALID = "body_invalid"
    CHANGE_ID_INVALID = "change_id_invalid"
    ANSWERS_INVALID = "answers_invalid"
    CONFLICT = "conflict"
    CHANGE_ID_REUSED = "change_id_reused"
    EXPIRED = "expired"
    ISSUED_IN_FUTURE = "issued_in_future"
    CONTENT_INVALID = "content_invalid"
    VERSION_UNKNOWN = "version_unknown"
    SUBJECT_UNKNOWN = "subject_unknown"
    ALREADY_STOPPING = "already_stopping"
    NOT_STOPPING = "not_stopping"
    LAST_SERVER = "last_server"
    QUORUM_LOST = "quorum_lost"
    NO_QUORUM = "no_quorum"
    OUTCOME_UNKNOWN = "outcome_unknown"


HTTP_STATUS = {
    Reason.AUTHENTICATION_MISSING: 401,
    Reason.AUTHENTICATION_INVALID: 401,
    Reason.PERMISSION_MISSING: 403,
    Reason.BODY_INVALID: 400,
    Reason.CHANGE_ID_INVALID: 400,
    Reason.ANSWERS_INVALID: 422,
    Reason.CONFLICT: 409,
    Reason.CHANGE_ID_REUSED: 422,
    Reason.EXPIRED: 409,
    Reason.ISSUED_IN_FUTURE: 409,
    Reason.CONTENT_INVALID: 422,
    Reason.VERSION_UNKNOWN: 404,
    Reason.SUBJECT_UNKNOWN: 404,
    Reason.ALREADY_STOPPING: 409,
    Reason.NOT_STOPPING: 409,
    Reason.LAST_SERVER: 409,
    Reason.QUORUM_LOST: 409,
    Reason.NO_QUORUM: 503,
    Reason.OUTCOME_UNKNOWN: 503,
}


class _Request(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")


class SubmitRequest(_Request):
    """Body of ``POST /changes``.

    `expected_version` None stands for the version in force.
    """

    change_id: ChangeId
    expected_version: Version | None = None
    answers: str
    file: str = "answers"
    summary: str = ""
    dry_run: bool = False
    wait_s: WaitSeconds = 10.0


class RollbackRequest(_Request):
    """Body of ``POST /rollbacks``."""

    change_id: ChangeId
    expected_version: Version | None = None
    to_version: Version
    dry_run: bool = False
    wait_s: WaitSeconds = 10.0


class StopRequest(_Request):
    """Body of ``POST /stops`` and ``POST /stops/cancel``."""

    change_id: ChangeId
    kind: commands.SubjectKind
    name: str
    even_so: bool = False
    wait_s: WaitSeconds = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneState:
    """Whether a version is in force in one availability zone."""

    availability_zone: str
    is_in_force: bool
    in_force_version: int
    live_count: int
    expected_count: int
    lagging: tuple[str, ...]
    missing: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedDocument:
    """An accepted change and the zones where it is in force."""

    change_id: str
    version: int
    zones: tuple[ZoneState, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PreviewDocument:
    """Differences and effects of a change that was not submitted."""

    version: int
    digest: str
    differences: tuple[str, ...]
    effects: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalDocument:
    """A refused request.

    In a conflict, `differences` lead from the accepted change to the refused one.
    """

    reason: Reason
    message: str
    details: tuple[str, ...] = ()
    differences: tuple[str, ...] = ()
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunningStop:
    """A running planned stop."""

    kind: str
    name: str
    operator: str
    version: int
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StatusDocument:
    """State of the log, the zones, and the daemon of this entry VM."""

    version: int
    configuration_version: int
    digest: str
    zones: tuple[ZoneState, ...]
    running_stops: tuple[RunningStop, ...]
    log_error: str
    daemon: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One entry of the audit history."""

    version: int
    time_s: float
    operator: str
    change_id: str
    kind: str
    summary: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class DaySummary:
    """Summary of the older changes of one day."""

    day: int
    first_version: int
    last_version: int
    operators: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryDocument:
    """The audit history, oldest first."""

    days: tuple[DaySummary, ...]
    entries: tuple[HistoryEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OpenKey:
    """An idempotency key whose call may have run and has no known outcome."""

    account: str
    key: str
    is_in_progress: bool
    router: str
    backend_server: str
    since_s: float
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OpenKeysDocument:
    """The oldest open keys and the total number of open keys."""

    keys: tuple[OpenKey, ...]
    total_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswersDocument:
    """The answers of one version."""

    version: int
    answers: str
