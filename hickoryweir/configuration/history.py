"""Bounded audit history of accepted changes.

The newest entries are kept in full, and the texts of the latest configurations
with them.  Older entries are aggregated per day, and the oldest days are dropped.
"""

import dataclasses
import enum

from hickoryweir.streams import codec

MAX_ENTRY_COUNT = 1_000
MAX_CONTENT_COUNT = 20
MAX_DAY_COUNT = 400
MAX_OPERATORS_PER_DAY_COUNT = 16
SECONDS_PER_DAY = 86_400
OTHERS = "others"


class ChangeKind(enum.StrEnum):
    """What a change affected."""

    CONFIGURATION = "configuration"
    STOP = "stop"
    CANCEL = "cancel"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One accepted change."""

    version: int
    time_s: float
    operator: str
    change_id: str
    kind: ChangeKind
    summary: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """The compressed texts of one version of the configuration."""

    version: int
    answers: bytes
    configuration: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """Older changes of one day, counted by operator."""

    day: int
    first_version: int
    last_version: int
    operators: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """The retained history, oldest first."""

    days: tuple[Day, ...] = ()
    entries: tuple[Entry, ...] = ()
    contents: tuple[Content, ...] = ()


codec.register("cfg.entry", Entry)
codec.register("cfg.content", Content)
codec.register("cfg.day", Day)
codec.register("cfg.history", History)


def add(history: History, entry: Entry, content: Content | None = None) -> History:
    """Return the history with one more change.

    Parameters
    ----------
    history : History
        Not modified.
    entry : Entry
        The change.
    content : Content, optional
        The texts, if the change affected the configuration.

    Returns
    -------
    History
        Bounded by the limits of this module.
    """
    entries = (*history.entries, entry)
    days = history.days
    if len(entries) > MAX_ENTRY_COUNT:
        days = _add_to_day_counts(days, entries[0])
        entries = entries[1:]
    contents = history.contents
    if content is not None:
        contents = (*contents, content)[-MAX_CONTENT_COUNT:]
    return History(days, entries, contents)


def _add_to_day_counts(days: tuple[Day, ...], entry: Entry) -> tuple[Day, ...]:
    day_number = int(entry.time_s // SECONDS_PER_DAY)
    if not days or days[-1].day != day_number:
        new = Day(day_number, entry.version, entry.version, ((entry.operator, 1),))
        return (*days, new)[-MAX_DAY_COUNT:]
    last = days[-1]
    counts = dict(last.operators)
    is_listed = entry.operator in counts or len(counts) < MAX_OPERATORS_PER_DAY_COUNT
    operator = entry.operator if is_listed else OTHERS
    counts[operator] = counts.get(operator, 0) + 1
    updated = dataclasses.replace(
        last, last_version=entry.version, operators=tuple(sorted(counts.items()))
    )
    return (*days[:-1], updated)


def find_content(history: History, version: int) -> Content | None:
    """Return the texts of a version if they are still kept."""
    for content in reversed(history.contents):
        if content.version == version:
            return content
    return None
