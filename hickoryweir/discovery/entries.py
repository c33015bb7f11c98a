r"""Splits a JSON document with a list into the bytes of the list's entries.

Several writers share the list of servers, and one of them may leave bytes that no
parser accepts.  A parser of the whole document would lose all other entries with them,
so the document is split by its strings, brackets and commas alone, and each entry is
decoded by itself.  What is in an entry matters for its own decoding only, as long as
its quotes and brackets are balanced; if they are not, nobody can tell where it ends.

Nesting up to :data:`MAX_DEPTH_COUNT` levels is skipped by one regular expression,
since a large site has thousands of entries.  Deeper entries are skipped bracket by
bracket and never decoded, so that no decoder runs into its limit of recursion.

Examples
--------
>>> found = split(b'{"list": [{"id": 1}, {"id": \xff}], "next": "a"}', "list").unwrap()
>>> found.entries
(b'{"id": 1}', b'{"id": \xff}')
>>> found.fields
{'next': b'"a"'}
>>> decode_entry(found.entries[1]).failure()
'not UTF-8'
>>> split(b'{"list": [{"id": 1}', "list").failure()
"array 'list' has no end"
"""

import dataclasses
import functools
import json
import re
from typing import Any

import pydantic
from returns import result

# Entries of model engines have three levels.
MAX_DEPTH_COUNT = 8
# A hundred times the size of an entry with several models.
MAX_ENTRY_SIZE_BYTES = 64 * 1024
# More than the servers of any one site; bounds the time that a page takes.
MAX_ENTRIES_COUNT = 50_000
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
TOO_DEEP = f"more than {MAX_DEPTH_COUNT} levels"
TOO_LARGE = f"more than {MAX_ENTRY_SIZE_BYTES} bytes"


# All repetitions are possessive, so that matching takes linear time.
STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'


def _make_shallow_pattern() -> re.Pattern[bytes]:
    """Return the pattern of a value up to the comma or bracket that ends it."""
    unit = STRING
    for _ in range(MAX_DEPTH_COUNT):
        content = rb'[^"\[\]{}]*+(?:(?:' + unit + rb')[^"\[\]{}]*+)*+'
        unit = STRING + rb"|[\[{]" + content + rb"[\]}]"
    value = rb'[^"\[\]{},]*+(?:(?:' + unit + rb')[^"\[\]{},]*+)*+'
    return re.compile(value, re.DOTALL)


SHALLOW_VALUE = _make_shallow_pattern()
# A quote that begins no string is matched last, by itself.
STRINGS_AND_BRACKETS = re.compile(STRING + rb'|[\[\]{}"]', re.DOTALL)
SPACES = rb"[ \t\n\r]*+"
SPACE = re.compile(SPACES)
NAME = re.compile(SPACES + rb"(" + STRING + rb")" + SPACES + rb":" + SPACES, re.DOTALL)


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("a name occurs twice")
    return found


DECODER = json.JSONDecoder(object_pairs_hook=_make_object)


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A document that was split.

    Attributes
    ----------
    entries : tuple of bytes
        Entries that may be decoded.
    problems : tuple of str
        Why each of the other entries may not.
    fields : dict
        Bytes of the values beside the list, by name.
    """

    entries: tuple[bytes, ...]
    problems: tuple[str, ...]
    fields: dict[str, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class _Value:
    """Where a value ends, and whether it is nested too deeply."""

    end: int
    is_deep: bool


class _SplitError(Exception):
    """The document can't be split; caught within this module."""


def split(body: bytes, list_name: str) -> result.Result[Document, str]:
    """Split a document, an object with an array of this name.

    Parameters
    ----------
    body : bytes
        The document.
    list_name : str
        Name of the array.

    Returns
    -------
    Result of Document or str
        The document, or why it can't be split.
    """
    try:
        return result.Success(_split(body.removeprefix(BYTE_ORDER_MARK), list_name))
    except _SplitError as error:
        return result.Failure(str(error))


def decode_entry(entry: bytes) -> result.Result[dict[str, Any], str]:
    """Decode an object; return why it is none otherwise.

    Examples
    --------
    >>> decode_entry(b'{"id": 1}').unwrap()
    {'id': 1}
    >>> decode_entry(b'{"id": 1, "id": 2}').failure()
    'not JSON, or a name occurs twice'
    """
    try:
        value = DECODER.decode(entry.decode())
    except UnicodeDecodeError:
        return result.Failure("not UTF-8")
    except (ValueError, RecursionError):
        return result.Failure("not JSON, or a name occurs twice")
    if not isinstance(value, dict):
        return result.Failure("not an object")
    return result.Success(value)


def describe_invalid(error: pydantic.ValidationError) -> str:
    """Return the first problem that validation found, without the value itself."""
    first = error.errors(include_url=False, include_input=False)[0]
    location = ".".join(str(part) for part in first["loc"])
    return f"{location}: {first['msg']}"


def decode_text(value: bytes) -> result.Result[str | None, str]:
    """Decode a string or null; return why it is neither otherwise.

    Examples
    --------
    >>> decode_text(b'"a"').unwrap(), decode_text(b"null").unwrap()
    ('a', None)
    >>> decode_text(b"7").failure()
    'neither text nor null'
    """
    try:
        text = json.loads(value.decode())
        if isinstance(text, str):
            # Raises for a lone surrogate, which can't be sent.
            text.encode()
    except (ValueError, RecursionError):
        return result.Failure("neither text nor null")
    if text is not None and not isinstance(text, str):
        return result.Failure("neither text nor null")
    return result.Success(text)


def _split(body: bytes, list_name: str) -> Document:
    position = _after_space(body, 0)
    if body[position : position + 1] != b"{":
        raise _SplitError("not an object")
    entries: list[bytes] = []
    problems: list[str] = []
    fields: dict[str, bytes] = {}
    names = set()
    read_array = functools.partial(_read_array, body, list_name, entries, problems)
    position = _after_space(body, position + 1)
    has_next = body[position : position + 1] != b"}"
    if not has_next:
        position += 1
    while has_next:
        name, position = _read_name(body, position)
        if name in names:
            raise _SplitError(f"{name[:20]!r} occurs twice")
        names.add(name)
        if name == list_name:
            position = _after_space(body, read_array(position))
        else:
            start, position = position, _end_of_value(body, position).end
            fields[name] = body[start:position]
        has_next = body[position : position + 1] == b","
        if not has_next and body[position : position + 1] != b"}":
            raise _SplitError("the object has no end")
        position += 1
    if list_name not in names:
        raise _SplitError(f"no array {list_name!r}")
    if _after_space(body, position) < len(body):
        raise _SplitError("bytes after the object")
    return Document(tuple(entries), tuple(problems), fields)


def _after_space(body: bytes, position: int) -> int:
    return SPACE.match(body, position).end()


def _read_name(body: bytes, position: int) -> tuple[str, int]:
    """Return the name of a field, and where its value begins."""
    match = NAME.match(body, position)
    if match is None:
        raise _SplitError("a field without a name")
    name = decode_text(match[1]).value_or(None)
    if name is None:
        raise _SplitError("a name that can't be read")
    return name, match.end()


def _read_array(
    body: bytes,
    list_name: str,
    entries: list[bytes],
    problems: list[str],
    position: int,
) -> int:
    """Add the entries of an array; return where it ends."""
    if body[position : position + 1] != b"[":
        raise _SplitError(f"no array {list_name!r}")
    start = _after_space(body, position + 1)
    if body[start : start + 1] == b"]":
        return start + 1
    while True:
        value = _end_of_value(body, start)
        mark = body[value.end : value.end + 1]
        if mark not in (b",", b"]"):
            raise _SplitError(f"array {list_name!r} has no end")
        if value.is_deep:
            problems.append(TOO_DEEP)
        elif value.end - start > MAX_ENTRY_SIZE_BYTES:
            problems.append(TOO_LARGE)
        else:
            entries.append(body[start : value.end].strip())
        if len(entries) + len(problems) > MAX_ENTRIES_COUNT:
            raise _SplitError(f"more than {MAX_ENTRIES_COUNT} entries")
        start = value.end + 1
        if mark == b"]":
            return start


def _end_of_value(body: bytes, position: int) -> _Value:
    """Return where a value ends: at a comma, at an outer bracket, or with the body."""
    is_deep = False
    while True:
        position = SHALLOW_VALUE.match(body, position).end()
        if body[position : position + 1] not in (b"[", b"{", b'"'):
            return _Value(position, is_deep)
        is_deep = True
        position = _end_of_group(body, position)


def _end_of_group(body: bytes, position: int) -> int:
    """Return where a group of any depth ends; the end of the body if it doesn't."""
    depth = 0
    for match in STRINGS_AND_BRACKETS.finditer(body, position):
        token = match[0]
        if token in (b"[", b"{"):
            depth += 1
        elif token in (b"]", b"}"):
            depth -= 1
            if depth == 0:
                return match.end()
        elif token == b'"':
            break
    return len(body)
