"""Plain-text tables.

Examples
--------
>>> print(render(("name", "calls"), (("a", 3), ("beta", 12))))
name  calls
a     3
beta  12
"""

import time
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

COLUMN_GAP = "  "
TIME_FORMAT = "%Y-%m-%d %H:%M:%S UTC"


def render(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return a table with left-aligned columns.

    Parameters
    ----------
    headers : sequence of str
        Column titles.
    rows : iterable of sequence
        Cells, formatted by :func:`format_cell`.

    Returns
    -------
    str
        Lines without trailing spaces.
    """
    lines = [tuple(headers), *(tuple(map(format_cell, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def render_records(records: Sequence[Mapping[str, Any]]) -> str:
    """Return a table of records; its columns are the keys of the first one."""
    if not records:
        return "(none)"
    headers = tuple(records[0])
    return render(
        headers, (tuple(record.get(h, "") for h in headers) for record in records)
    )


def format_cell(value: Any) -> str:
    """Return a cell's text.

    Examples
    --------
    >>> format_cell(True), format_cell(0.25), format_cell(("a", "b")), format_cell(None)
    ('yes', '0.25', 'a, b', '-')
    """
    if value is None or value == "" or value == () or value == []:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, list | tuple):
        return ", ".join(format_cell(part) for part in value)
    return str(value)


def format_time(time_s: float) -> str:
    """Return a Unix time as text.

    Examples
    --------
    >>> format_time(0.0)
    '1970-01-01 00:00:00 UTC'
    """
    return time.strftime(TIME_FORMAT, time.gmtime(time_s))
