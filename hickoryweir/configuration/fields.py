"""Validated field types of INI files.

The description of each type is shown in error messages as the expected value.

Examples
--------
>>> import pydantic
>>> pydantic.TypeAdapter(Port).validate_python("8080")
8080
>>> pydantic.TypeAdapter(Names).validate_python("a, b")
('a', 'b')
"""

import pathlib
import re
from typing import Annotated

import pydantic

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
URL_PATTERN = re.compile(r"https?://[^/\s]+(/\S*)?")


def _matching(pattern: re.Pattern):
    def check(value: str) -> str:
        if not pattern.fullmatch(value):
            raise ValueError(f"is {value!r}")
        return value

    return pydantic.AfterValidator(check)


def split(value):
    """Return the comma-separated parts of a text; other values unchanged."""
    if not isinstance(value, str):
        return value
    return tuple(part.strip() for part in value.split(",") if part.strip())


def _resolve(path: pathlib.Path, info: pydantic.ValidationInfo) -> pathlib.Path:
    folder = (info.context or {}).get("folder", ".")
    return pathlib.Path(folder, path)


def _describe(text: str):
    return pydantic.Field(description=text)


Name = Annotated[
    str,
    _matching(NAME_PATTERN),
    _describe("a name of lower-case letters, digits, '.', '_' and '-'"),
]
Names = Annotated[
    tuple[Annotated[str, _matching(NAME_PATTERN)], ...],
    pydantic.BeforeValidator(split),
    _describe("names separated by commas"),
]
NonEmptyNames = Annotated[Names, pydantic.Field(min_length=1)]
Digests = Annotated[
    tuple[Annotated[str, _matching(DIGEST_PATTERN)], ...],
    pydantic.BeforeValidator(split),
    pydantic.Field(
        min_length=1,
        description="SHA-256 digests of 64 lower-case hex digits, separated by commas",
    ),
]
Host = Annotated[
    pydantic.IPvAnyAddress,
    pydantic.AfterValidator(str),
    _describe("an IP address, such as 10.0.1.4"),
]
Port = Annotated[
    int,
    pydantic.Field(ge=0, le=65535, description="a TCP port, 0 to 65535 (0: any)"),
]
Url = Annotated[
    str, _matching(URL_PATTERN), _describe("a URL such as http://10.0.1.4:8000")
]
OptionalUrl = Annotated[
    str,
    _matching(re.compile(f"({URL_PATTERN.pattern})?")),
    _describe("a URL such as http://10.0.1.4:8000, or nothing"),
]
File = Annotated[
    pathlib.Path,
    pydantic.AfterValidator(_resolve),
    _describe("a path, relative to this file"),
]
Flag = Annotated[bool, _describe("yes or no")]
Seconds = Annotated[
    float,
    pydantic.Field(gt=0, allow_inf_nan=False, description="seconds, above 0"),
]
SecondsOrZero = Annotated[
    float,
    pydantic.Field(ge=0, allow_inf_nan=False, description="seconds, 0 or more"),
]
Share = Annotated[float, pydantic.Field(ge=0, le=1, description="a share from 0 to 1")]
Count = Annotated[int, pydantic.Field(ge=1, description="a whole number, 1 or more")]
CountOrZero = Annotated[
    int, pydantic.Field(ge=0, description="a whole number, 0 or more")
]
Rate = Annotated[
    float, pydantic.Field(gt=0, allow_inf_nan=False, description="a number above 0")
]
RateOrZero = Annotated[
    float, pydantic.Field(ge=0, allow_inf_nan=False, description="0 or a number above")
]
