"""Structured logs: one JSON object per line, written through absl.logging.

An entry has a message and :class:`Fields`, such as the request, its class, its account
and a reason.  Keys, tokens and bodies are never logged, so there is no field for them.

Examples
--------
>>> render(Entry("call refused", Fields(reason="shed")), "WARNING", 0.0)
'{"time": "1970-01-01T00:00:00+00:00", "level": "WARNING", \
"message": "call refused", "reason": "shed"}'
"""

import dataclasses
import datetime
import json
import logging as standard_logging
import sys
from typing import TextIO

from absl import flags, logging


@dataclasses.dataclass(frozen=True, slots=True)
class Fields:
    """Optional fields of a log entry; fields that are None are not written."""

    request_id: str | None = None
    class_name: str | None = None
    account: str | None = None
    reason: str | None = None
    backend_server: str | None = None
    attempt: int | None = None
    peer: str | None = None
    version: int | None = None
    duration_s: float | None = None
    detail: str | None = None


NO_FIELDS = Fields()


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A message with its fields."""

    message: str
    fields: Fields


def render(entry: Entry, level: str, time_s: float) -> str:
    """Return an entry as one line of JSON.

    Parameters
    ----------
    entry : Entry
        Message and fields.
    level : str
        Name of the level.
    time_s : float
        Seconds since the epoch.

    Returns
    -------
    str
        A JSON object without a line break.
    """
    moment = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    line = {"time": moment.isoformat(), "level": level, "message": entry.message}
    for field in dataclasses.fields(entry.fields):
        value = getattr(entry.fields, field.name)
        if value is not None:
            line[field.name] = value
    return json.dumps(line)


class JsonFormatter(standard_logging.Formatter):
    """Formats records of this module and of libraries as JSON lines."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a record as one line of JSON."""
        entry = record.args[0] if record.args else None
        if not isinstance(entry, Entry):
            entry = Entry(record.getMessage(), Fields(detail=record.name))
        if record.exc_info:
            failure = self.formatException(record.exc_info)
            detail = f"{entry.fields.detail or ''} {failure}".strip()
            entry = Entry(
                entry.message, dataclasses.replace(entry.fields, detail=detail)
            )
        return render(entry, record.levelname, record.created)


def configure(level: str = "info", stream: TextIO = sys.stderr) -> None:
    """Send all logs of the process to a stream as JSON lines.

    Parameters
    ----------
    level : str, optional
        Lowest absl level that is written: debug, info, warning or error.
    stream : file object, optional
        Receives the lines.
    """
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = stream
    handler.setFormatter(JsonFormatter())
    logging.set_verbosity(level)
    logging.set_stderrthreshold("fatal")


def write(level: int, message: str, fields: Fields) -> None:
    """Write an entry at one of the levels of the standard library.

    The record is passed directly to absl's logger, because finding the caller's line
    for each entry would cost more than writing the entry.
    """
    logger = logging.get_absl_logger()
    if not logger.isEnabledFor(level):
        return
    entry = Entry(message, fields)
    record = standard_logging.LogRecord(
        logger.name, level, __file__, 0, "%s", (entry,), None
    )
    logger.handle(record)


def info(message: str, fields: Fields = NO_FIELDS) -> None:
    """Write an entry at level info."""
    write(standard_logging.INFO, message, fields)


def warning(message: str, fields: Fields = NO_FIELDS) -> None:
    """Write an entry at level warning."""
    write(standard_logging.WARNING, message, fields)


def error(message: str, fields: Fields = NO_FIELDS) -> None:
    """Write an entry at level error."""
    write(standard_logging.ERROR, message, fields)
