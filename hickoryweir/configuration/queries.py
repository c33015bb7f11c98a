"""Queries on operators' changes, answered from the replicated state."""

import dataclasses

from hickoryweir.configuration import changes, history, stops
from hickoryweir.streams import codec


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCurrentState:
    """Query for the committed state in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentState:
    """The committed state in force; texts are compressed."""

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
class HistoryResult:
    """The audit history, oldest first, without texts."""

    days: tuple[history.Day, ...]
    entries: tuple[history.Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadContent:
    """Query for the texts of one version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ContentResult:
    """The texts of one version; None if they are no longer kept."""

    content: history.Content | None


Query = ReadCurrentState | ReadHistory | ReadContent
QUERY_TYPES = (ReadCurrentState, ReadHistory, ReadContent)

_TAGS: dict[str, type] = {
    "cfg.read-standing": ReadCurrentState,
    "cfg.standing": CurrentState,
    "cfg.read-history": ReadHistory,
    "cfg.history-read": HistoryResult,
    "cfg.read-content": ReadContent,
    "cfg.content-read": ContentResult,
}
for _tag, _cls in _TAGS.items():
    codec.register(_tag, _cls)


def answer(
    state: changes.State, query: Query, time_s: float
) -> CurrentState | HistoryResult | ContentResult:
    """Return the answer to a query; ``time_s`` is the log's time, unused."""
    match query:
        case ReadCurrentState():
            return CurrentState(
                state.version,
                state.configuration_version,
                state.digest,
                state.answers,
                state.configuration,
                tuple(state.running_stops[key] for key in sorted(state.running_stops)),
            )
        case ReadHistory():
            entries = state.audit.entries[-query.max_entry_count :]
            return HistoryResult(state.audit.days, entries)
        case ReadContent():
            return ContentResult(history.find_content(state.audit, query.version))
