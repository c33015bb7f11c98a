"""Reads an INI file into data classes and reports every problem in it.

A file has single sections, such as ``[callers]``, and named sections, such as
``[peer a-1]``.  :func:`make_schema` makes a pydantic model from a data class;
:func:`load` validates a whole text against such schemas.
"""

import configparser
import dataclasses
import pathlib
import typing
from collections.abc import Mapping
from typing import Any

import pydantic
from returns import result

from hickoryweir.configuration import problems


@dataclasses.dataclass(frozen=True, slots=True)
class Schema:
    """A data class and the pydantic model that validates its fields."""

    cls: type
    validator: type[pydantic.BaseModel]


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The sections that a file may have, by kind."""

    single: Mapping[str, Schema]
    named: Mapping[str, Schema]


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """The validated sections of a file, by kind; named ones sorted by name."""

    single: Mapping[str, Any]
    named: Mapping[str, tuple[Any, ...]]


def make_schema(cls: type, field_types: Mapping[str, Any] | None = None) -> Schema:
    """Return the schema of a data class.

    Parameters
    ----------
    cls : type
        A data class; its annotations apply where ``field_types`` has no entry.
    field_types : mapping of str to type, optional
        Validated types by field name.

    Returns
    -------
    Schema
        Validates text values and builds instances of ``cls``.
    """
    hints = typing.get_type_hints(cls, include_extras=True)
    field_types = field_types or {}
    field_definitions = {
        field.name: (field_types.get(field.name, hints[field.name]), _default(field))
        for field in dataclasses.fields(cls)
    }
    validator = pydantic.create_model(
        cls.__name__,
        __config__=pydantic.ConfigDict(extra="forbid"),
        **field_definitions,
    )
    return Schema(cls, validator)


def _default(field: dataclasses.Field):
    return ... if field.default is dataclasses.MISSING else field.default


def load(
    text: str, file: str, layout: Layout
) -> result.Result[Content, problems.InvalidInput]:
    """Return the validated content of an INI text, or every problem in it.

    Parameters
    ----------
    text : str
        The INI text.
    file : str
        File name for error messages; relative paths start from its folder.
    layout : Layout
        The sections that the file may have.

    Returns
    -------
    Result of Content or InvalidInput
        The sections as data class instances.
    """
    parsed = _read_text(text, file)
    return parsed.bind(lambda parser: _check(parser, file, layout))


def load_section(
    text: str, file: str, layout: Layout
) -> result.Result[tuple[str, Any], problems.InvalidInput]:
    """Return kind and validated value of a text that consists of one section.

    Parameters
    ----------
    text : str
        The section with its title line.
    file, layout
        As for :func:`load`.
    """
    return _read_text(text, file).bind(
        lambda parser: _check_only_section(parser, file, layout)
    )


def _check_only_section(parser, file, layout):
    found: list[problems.Problem] = []
    title = parser.sections()[0]
    kind, value = _check_by_title(file, title, dict(parser[title]), layout, found)
    if found:
        return result.Failure(problems.InvalidInput(tuple(found)))
    return result.Success((kind, value))


def _read_text(text, file):
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        default_section="\n",
    )
    parser.optionxform = str
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        problem = problems.Problem(
            file, "", "", _on_one_line(error), "INI text: [section] and key = value"
        )
        return result.Failure(problems.InvalidInput((problem,)))
    return result.Success(parser)


def _on_one_line(error: configparser.Error) -> str:
    return " ".join(str(error).split())


def _check(parser, file, layout):
    found: list[problems.Problem] = []
    single: dict[str, Any] = {}
    named: dict[str, list[Any]] = {kind: [] for kind in layout.named}
    for title in parser.sections():
        values = dict(parser[title])
        kind, value = _check_by_title(file, title, values, layout, found)
        if kind in named:
            named[kind].append(value)
        elif kind:
            single[kind] = value
    for title in layout.single.keys() - single.keys():
        schema = layout.single[title]
        single[title] = _check_section(file, title, {}, schema, found)
    if found:
        return result.Failure(problems.InvalidInput(tuple(found)))
    return result.Success(Content(single, _sorted_by_name(named)))


def _check_by_title(file, title, values, layout, found):
    """Return kind and value of a section; an empty kind if it is unknown."""
    kind, _, name = title.partition(" ")
    if kind in layout.named and name.strip():
        values = {"name": name.strip(), **values}
        value = _check_section(file, title, values, layout.named[kind], found)
        return kind, value
    if title in layout.single:
        schema = layout.single[title]
        return title, _check_section(file, title, values, schema, found)
    found.append(_unknown_section(file, title, layout))
    return "", None


def _sorted_by_name(named):
    return {
        kind: tuple(sorted(values, key=lambda value: value.name))
        for kind, values in named.items()
    }


def _unknown_section(file, title, layout):
    known = [f"[{kind}]" for kind in layout.single]
    known += [f"[{kind} NAME]" for kind in layout.named]
    return problems.Problem(
        file, title, "", "unknown section", "one of " + ", ".join(known)
    )


def _check_section(file, title, values, schema, found):
    context = {"folder": pathlib.Path(file).parent}
    try:
        checked = schema.validator.model_validate(values, context=context)
    except pydantic.ValidationError as error:
        for detail in error.errors():
            found.append(_to_problem(file, title, detail, schema))
        return None
    # dict(checked) would call a field named "keys" as the mapping method.
    names = schema.validator.model_fields
    return schema.cls(**{name: getattr(checked, name) for name in names})


def _to_problem(file, title, detail, schema):
    key = str(detail["loc"][0]) if detail["loc"] else ""
    keys = [name for name in schema.validator.model_fields if name != "name"]
    if detail["type"] == "extra_forbidden":
        return problems.Problem(
            file, title, key, "unknown key", "one of " + ", ".join(keys)
        )
    field = schema.validator.model_fields[key]
    expected = field.description or "a valid value"
    if detail["type"] == "missing":
        return problems.Problem(file, title, key, "missing key", expected)
    return problems.Problem(file, title, key, f"is {detail['input']!r}", expected)
