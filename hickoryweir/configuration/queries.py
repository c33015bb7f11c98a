"""Queries on operators' changes, answered from the replicated state."""

import dataclasses

from hickoryweir.configuration import changes, history, stops
from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStanding:
    """Query for what is in force by the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What is in force by the log; texts are compressed."""

    version: int
    configuration_version: int
    digest: str
    answers: bytes
    configuration: bytes
    running_stops: tuple[stops.Stop, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHistory:
    """Query for the newest entries of the audit history."""

    max_entry_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryRead:
    """The audit history, oldest first, without texts."""

    days: tuple[history.Day, ...]
    entries: tuple[history.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadContent:
    """Query for the texts of one version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ContentRead:
    """The texts of one version; None if they are no longer kept."""

    content: history.Content | None


Query = ReadStanding | ReadHistory | ReadContent
QUERY_TYPES = (ReadStanding, ReadHistory, ReadContent)

_TAGS: dict[str, type] = {
    "cfg.read-standing": ReadStanding,
    "cfg.standing": Standing,
    "cfg.read-history": ReadHistory,
    "cfg.history-read": HistoryRead,
    "cfg.read-content": ReadContent,
    "cfg.content-read": ContentRead,
}
for _tag, _cls in _TAGS.items():
    codec.register(_tag, _cls)


def answer(
    state: changes.State, query: Query, time_s: float
) -> Standing | HistoryRead | ContentRead:
    """Return the answer to a query; ``time_s`` is the log's time, unused."""
    match query:
        case ReadStanding():
            return Standing(
                state.version,
                state.configuration_version,
                state.digest,
                state.answers,
                state.configuration,
                tuple(state.running_stops[key] for key in sorted(state.running_stops)),
            )
        case ReadHistory():
            entries = state.audit.entries[-query.max_entry_count :]
            return HistoryRead(state.audit.days, entries)
        case ReadContent():
            return ContentRead(history.find_content(state.audit, query.version))
