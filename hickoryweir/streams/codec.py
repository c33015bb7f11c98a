"""Encoding of typed messages in msgpack.

A message is a frozen dataclass registered under a short tag.  On the wire it is
``[tag, [field, ...]]``, with fields in the order of their definition.  Trailing
fields that have a default may be missing, so that a newer process can read records
written by an older one.  A class with ``OMITS_DEFAULTS = True`` leaves out trailing
fields that equal their default, so that an older process can read such records of a
newer one.  Field types are ``int``, ``float``, ``str``, ``bytes``,
``bool``, enums, tuples, dataclasses, optionals, and unions of registered messages.

Examples
--------
>>> import dataclasses
>>> @dataclasses.dataclass(frozen=True, slots=True)
... class Ping:
...     sequence: int
>>> register("doctest.ping", Ping)
<class 'hickoryweir.streams.codec.Ping'>
>>> decode(encode(Ping(7))).unwrap()
Ping(sequence=7)
>>> decode(b"junk").failure().reason
<DecodeReason.MALFORMED: 'malformed'>
"""

import dataclasses
import enum
import math
import types
import typing
from collections.abc import Callable

import msgpack
from returns import result

Converter = Callable[[typing.Any], typing.Any]


class DecodeReason(enum.StrEnum):
    """Reason why bytes can't be decoded."""

    MALFORMED = "malformed"
    UNKNOWN_TAG = "unknown_tag"
    WRONG_FIELDS = "wrong_fields"


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeFailure:
    """Error of :func:`decode`."""

    reason: DecodeReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class _MessageCodec:
    tag: str
    pack: Converter
    unpack: Converter


_by_tag: dict[str, _MessageCodec] = {}
_by_class: dict[type, _MessageCodec] = {}


class _MismatchError(Exception):
    """A value does not match the type of its field; caught within this module."""


def register(tag: str, cls: type) -> type:
    """Register a frozen dataclass as a message class.

    Parameters
    ----------
    tag : str
        Identifies the class on the wire; unique, and never reused for another class.
    cls : type
        The class.

    Returns
    -------
    type
        `cls`.

    Raises
    ------
    ValueError
        If the tag is registered for another class.
    """
    known = _by_tag.get(tag)
    if known is not None and _by_class.get(cls) is not known:
        raise ValueError(f"tag {tag!r} is registered for another class")
    pack, unpack = _dataclass_converters(cls)
    message_codec = _MessageCodec(tag, pack, unpack)
    _by_tag[tag] = message_codec
    _by_class[cls] = message_codec
    return cls


def encode(message: object) -> bytes:
    """Encode a message of a registered class.

    Raises
    ------
    KeyError
        If the class of `message` is not registered.
    """
    return msgpack.packb(_pack_tagged(message))


def decode(data: bytes) -> result.Result[typing.Any, DecodeFailure]:
    """Decode a message, or return why `data` is invalid.

    See Also
    --------
    encode : The inverse.
    """
    try:
        value = msgpack.unpackb(data, use_list=False)
    except (ValueError, msgpack.exceptions.UnpackException) as error:
        # The text of some errors contains the bytes, which may hold keys.
        return _failure(DecodeReason.MALFORMED, type(error).__name__)
    if type(value) is not tuple or len(value) != 2 or type(value[0]) is not str:
        return _failure(DecodeReason.MALFORMED, "not a tagged message")
    message_codec = _by_tag.get(value[0])
    if message_codec is None:
        return _failure(DecodeReason.UNKNOWN_TAG, value[0][:80])
    try:
        return result.Success(message_codec.unpack(value[1]))
    except _MismatchError as error:
        return _failure(DecodeReason.WRONG_FIELDS, f"{value[0]}: {error}")


def _failure(reason: DecodeReason, detail: str) -> result.Result:
    return result.Failure(DecodeFailure(reason, detail))


def _pack_tagged(message: object) -> tuple:
    message_codec = _by_class[type(message)]
    return message_codec.tag, message_codec.pack(message)


def _unpack_tagged(value: typing.Any, allowed: tuple[type, ...]) -> typing.Any:
    if type(value) is not tuple or len(value) != 2:
        raise _MismatchError("not a tagged message")
    message_codec = _by_tag.get(value[0]) if type(value[0]) is str else None
    if message_codec is None:
        raise _MismatchError("unknown tag")
    message = message_codec.unpack(value[1])
    if not isinstance(message, allowed):
        raise _MismatchError(f"{message_codec.tag} is not allowed in this field")
    return message


def _dataclass_converters(cls: type) -> tuple[Converter, Converter]:
    hints = typing.get_type_hints(cls)
    fields = dataclasses.fields(cls)
    converters = [_converters(hints[field.name]) for field in fields]
    names = [field.name for field in fields]
    packs = [(name, pair[0]) for name, pair in zip(names, converters, strict=True)]
    unpacks = [pair[1] for pair in converters]
    required_count = sum(
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
        for field in fields
    )

    def pack(message: typing.Any) -> list:
        return [
            getattr(message, name)
            if convert is None
            else convert(getattr(message, name))
            for name, convert in packs
        ]

    def pack_without_defaults(message: typing.Any) -> list:
        count = len(fields)
        while (
            count > required_count
            and getattr(message, names[count - 1]) == fields[count - 1].default
        ):
            count -= 1
        return pack(message)[:count]

    def unpack(value: typing.Any) -> typing.Any:
        if type(value) is not tuple or not required_count <= len(value) <= len(unpacks):
            raise _MismatchError("wrong number of fields")
        try:
            return cls(
                *[convert(item) for convert, item in zip(unpacks, value, strict=False)]
            )
        except (ValueError, TypeError) as error:
            raise _MismatchError(str(error)) from error

    omits_defaults = getattr(cls, "OMITS_DEFAULTS", False)
    return (pack_without_defaults if omits_defaults else pack), unpack


def _converters(hint: typing.Any) -> tuple[Converter | None, Converter]:
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return _union_converters(typing.get_args(hint))
    if origin is tuple:
        return _tuple_converters(typing.get_args(hint))
    if dataclasses.is_dataclass(hint):
        return _dataclass_converters(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return (lambda value: value.value), _enum_unpacker(hint)
    if hint is float:
        return None, _unpack_float
    if hint in (int, str, bytes, bool):
        return None, _scalar_unpacker(hint)
    raise TypeError(f"unsupported field type {hint!r}")


def _scalar_unpacker(expected_type: type) -> Converter:
    def read(value: typing.Any) -> typing.Any:
        if type(value) is not expected_type:
            raise _MismatchError(f"value is not of type {expected_type.__name__}")
        return value

    return read


def _unpack_float(value: typing.Any) -> float:
    if type(value) not in (int, float):
        raise _MismatchError("value is not a number")
    # No comparison with it holds, so that it would pass checks of a bound.
    if math.isnan(value):
        raise _MismatchError("value is not a number")
    return float(value)


def _enum_unpacker(cls: type[enum.Enum]) -> Converter:
    def read(value: typing.Any) -> enum.Enum:
        try:
            return cls(value)
        except (ValueError, TypeError) as error:
            raise _MismatchError(f"value is not a member of {cls.__name__}") from error

    return read


def _tuple_converters(args: tuple) -> tuple[Converter | None, Converter]:
    if len(args) == 2 and args[1] is Ellipsis:
        return _sequence_converters(args[0])
    converters = [_converters(arg) for arg in args]

    def pack(value: tuple) -> list:
        return [
            item if convert is None else convert(item)
            for (convert, _), item in zip(converters, value, strict=True)
        ]

    def unpack(value: typing.Any) -> tuple:
        if type(value) is not tuple or len(value) != len(converters):
            raise _MismatchError("wrong number of items in a tuple")
        return tuple(
            convert(item) for (_, convert), item in zip(converters, value, strict=True)
        )

    return pack, unpack


def _sequence_converters(item_hint: typing.Any) -> tuple[Converter | None, Converter]:
    pack_item, unpack_item = _converters(item_hint)

    def unpack(value: typing.Any) -> tuple:
        if type(value) is not tuple:
            raise _MismatchError("value is not an array")
        return tuple(unpack_item(item) for item in value)

    if pack_item is None:
        return None, unpack
    return (lambda value: [pack_item(item) for item in value]), unpack


def _union_converters(args: tuple) -> tuple[Converter | None, Converter]:
    members = tuple(arg for arg in args if arg is not types.NoneType)
    if len(members) == 1:
        return _optional_converters(members[0])
    optional = len(members) < len(args)
    if not all(dataclasses.is_dataclass(member) for member in members):
        raise TypeError("members of a union must be registered messages")

    def pack(value: typing.Any) -> typing.Any:
        return None if value is None else _pack_tagged(value)

    def unpack(value: typing.Any) -> typing.Any:
        if value is None and optional:
            return None
        return _unpack_tagged(value, members)

    return pack, unpack


def _optional_converters(hint: typing.Any) -> tuple[Converter | None, Converter]:
    pack_member, unpack_member = _converters(hint)

    def unpack(value: typing.Any) -> typing.Any:
        return None if value is None else unpack_member(value)

    if pack_member is None:
        return None, unpack
    return (lambda value: None if value is None else pack_member(value)), unpack
