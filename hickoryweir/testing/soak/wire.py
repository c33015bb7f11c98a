"""The formats in which the soak talks to the processes it plays with.

:data:`OWN` has the project's own formats.  A folder with an entry point for other ones
has a module ``soak_formats`` beside it, see :func:`load`.
"""

import dataclasses
import importlib
import pathlib
import sys
from collections.abc import Callable

from hickoryweir.forwarding import headers

MODULE = "soak_formats"


@dataclasses.dataclass(frozen=True, slots=True)
class Formats:
    """Headers, list of backend servers and operators' interface.

    Attributes
    ----------
    request_id, last_event_id, not_run : str
        Names of headers.
    make_list : Callable
        Returns the document of a list from entries with id, service and address.
    make_table : Callable
        Returns the body of a table from its text in the project's own format.
    put_method, put_path, get_path : str
        How operators send and read a table.
    version_pattern : str
        Finds the version in a table that is read.
    entry : Path or None
        Script that runs the processes; None for the project's command line.
    """

    request_id: str
    last_event_id: str
    not_run: str
    make_list: Callable[[list[dict]], dict]
    make_table: Callable[[str], bytes]
    put_method: str
    put_path: str
    get_path: str
    version_pattern: str
    entry: pathlib.Path | None = None


def _make_own_list(entries: list[dict]) -> dict:
    return {"servers": entries}


OWN = Formats(
    request_id=headers.REQUEST_ID,
    last_event_id=headers.LAST_EVENT_ID,
    not_run=headers.NOT_RUN,
    make_list=_make_own_list,
    make_table=str.encode,
    put_method="PUT",
    put_path="/table",
    get_path="/table",
    version_pattern=r"^version = (\d+)$",
)


def load(entry: str) -> Formats:
    """Return the formats of an entry point, those of the project for an empty path."""
    if not entry:
        return OWN
    path = pathlib.Path(entry).resolve()
    folder = str(path.parent)
    if folder not in sys.path:
        sys.path.append(folder)
    formats = importlib.import_module(MODULE).make_formats()
    return dataclasses.replace(formats, entry=path)
