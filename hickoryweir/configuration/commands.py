"""Operators' commands to the replicated log, and its replies.

Texts are sent compressed; :func:`make_submit` compresses them.
"""

import dataclasses
import enum
import zlib

from hickoryweir.streams import codec

MAX_TEXT_SIZE_BYTES = 32 * 1024 * 1024


class SubjectKind(enum.StrEnum):
    """Kind of subject that a planned stop takes out of use."""

    BACKEND_SERVER = "backend-server"
    AVAILABILITY_ZONE = "availability-zone"
    PROVIDER = "provider"
    ENTRY_VM = "entry-vm"


@dataclasses.dataclass(frozen=True, slots=True)
class Voter:
    """A voting replica and its availability zone."""

    name: str
    availability_zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitChange:
    """Change the configuration.

    Attributes
    ----------
    change_id : str
        Unique; a resend has the same id and gets the first reply.
    operator : str
        Name of the operator who submits the change.
    issued_at_s : float
        Unix time of the first send; unchanged in a resend.
    expected_version : int
        The version on which the change is based.
    answers, configuration : bytes
        Compressed texts.
    summary : str
        One line for the audit history.
    """

    change_id: str
    operator: str
    issued_at_s: float
    expected_version: int
    answers: bytes
    configuration: bytes
    summary: str


@dataclasses.dataclass(frozen=True, slots=True)
class StartStop:
    """Start a planned stop.

    ``even_so`` skips the checks for a last server and for the quorum.
    """

    change_id: str
    operator: str
    issued_at_s: float
    kind: SubjectKind
    name: str
    even_so: bool
    voters: tuple[Voter, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelStop:
    """Cancel a planned stop."""

    change_id: str
    operator: str
    issued_at_s: float
    kind: SubjectKind
    name: str


Command = SubmitChange | StartStop | CancelStop


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is committed as this version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another change was accepted first.

    ``answers`` is empty if the texts of that change are no longer kept.
    """

    winning_version: int
    operator: str
    change_id: str
    answers: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ContentInvalid:
    """The configuration text can't be decompressed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeIdReused:
    """The change id belongs to a command with other content."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The command was issued too long ago to know whether it was applied.

    Commands issued at or before ``floor_s`` are refused.
    """

    floor_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedInFuture:
    """The command's time of issue is too far ahead of the log's time."""

    log_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SubjectUnknown:
    """No subject of this kind has this name."""

    kind: SubjectKind
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyStopping:
    """A planned stop of the subject is already running."""

    operator: str
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotStopping:
    """No planned stop of the subject is running."""


@dataclasses.dataclass(frozen=True, slots=True)
class LastServer:
    """The stop would leave these models or services without a server."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuorumLost:
    """The stop would leave fewer replicas than the quorum needs."""

    remaining_count: int
    needed_count: int


Reply = (
    Accepted
    | Conflict
    | ContentInvalid
    | ChangeIdReused
    | Expired
    | IssuedInFuture
    | SubjectUnknown
    | AlreadyStopping
    | NotStopping
    | LastServer
    | QuorumLost
)

_TAGS: dict[str, type] = {
    "cfg.voter": Voter,
    "cfg.submit": SubmitChange,
    "cfg.stop": StartStop,
    "cfg.cancel": CancelStop,
    "cfg.accepted": Accepted,
    "cfg.conflict": Conflict,
    "cfg.invalid": ContentInvalid,
    "cfg.reused": ChangeIdReused,
    "cfg.expired": Expired,
    "cfg.future": IssuedInFuture,
    "cfg.unknown": SubjectUnknown,
    "cfg.stopping": AlreadyStopping,
    "cfg.not-stopping": NotStopping,
    "cfg.last-server": LastServer,
    "cfg.quorum": QuorumLost,
}
for _tag, _cls in _TAGS.items():
    codec.register(_tag, _cls)


def compress(text: str) -> bytes:
    """Return a text's compressed bytes."""
    return zlib.compress(text.encode(), level=6)


def decompress(data: bytes) -> str:
    """Return the text of compressed bytes.

    Raises
    ------
    ValueError
        If the bytes are damaged or the text exceeds ``MAX_TEXT_SIZE_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_TEXT_SIZE_BYTES)
    except zlib.error as error:
        raise ValueError("compressed text is damaged") from error
    if decompressor.unconsumed_tail:
        raise ValueError("compressed text is too large")
    return text.decode()


def make_submit(
    change_id: str,
    operator: str,
    issued_at_s: float,
    expected_version: int,
    answers_text: str,
    configuration_text: str,
    summary: str = "",
) -> SubmitChange:
    """Return the command for a change of the configuration.

    Parameters
    ----------
    change_id, operator, issued_at_s, expected_version, summary
        As in :class:`SubmitChange`.
    answers_text, configuration_text : str
        The answers and the canonical text generated from them.

    Returns
    -------
    SubmitChange
        With compressed texts.
    """
    return SubmitChange(
        change_id,
        operator,
        issued_at_s,
        expected_version,
        compress(answers_text),
        compress(configuration_text),
        summary,
    )
