"""Versions of the configuration that routers store and exchange."""

import dataclasses
import hashlib
import zlib

from returns import result

from hickoryweir.configuration import changes, commands, deltas, stops
from hickoryweir.routers import messages
from hickoryweir.streams import codec

MAX_DELTA_COUNT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """A committed version: canonical text and planned stops in progress."""

    version: int
    configuration_version: int
    digest: str
    text: str
    running_stops: tuple[stops.Stop, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionDelta:
    """The delta between two versions that were held consecutively."""

    base_version: int
    version: int
    delta: deltas.Delta


def from_state(state: changes.State) -> Published | None:
    """Return the version in the log's state machine; None before any change."""
    if not state.configuration:
        return None
    return Published(
        state.version,
        state.configuration_version,
        state.digest,
        commands.decompress(state.configuration),
        tuple(state.running_stops[key] for key in sorted(state.running_stops)),
    )


def append_delta(
    version_deltas: tuple[VersionDelta, ...], held: Published | None, newer: Published
) -> tuple[VersionDelta, ...]:
    """Append the delta from the held version to a newer one; the oldest is dropped."""
    if held is None:
        return ()
    version_delta = VersionDelta(
        held.version, newer.version, deltas.diff(held.text, newer.text)
    )
    return (*version_deltas, version_delta)[-MAX_DELTA_COUNT:]


def make_update(
    held: Published, version_deltas: tuple[VersionDelta, ...], known_version: int
) -> messages.Update:
    """Return the update for a router that holds an older version.

    Parameters
    ----------
    held : Published
        The version that this router holds.
    version_deltas : tuple of VersionDelta
        Deltas of the last versions, oldest first.
    known_version : int
        The version that the other router holds; 0 if none.

    Returns
    -------
    Update
        Contains a delta if `version_deltas` includes the known version, else the text.
    """
    delta = _compose_from(version_deltas, known_version)
    return messages.Update(
        held.version,
        held.configuration_version,
        held.digest,
        held.running_stops,
        known_version if delta else 0,
        _compress_delta(delta) if delta else commands.compress(held.text),
    )


def _compress_delta(delta: deltas.Delta) -> bytes:
    return zlib.compress(codec.encode(delta))


def _decompress_delta(content: bytes) -> result.Result[deltas.Delta, str]:
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(content, commands.MAX_TEXT_SIZE_BYTES)
    except zlib.error as error:
        return result.Failure(str(error))
    return codec.decode(data).alt(str)


def _compose_from(version_deltas, known_version):
    for index, version_delta in enumerate(version_deltas):
        if version_delta.base_version == known_version:
            delta = version_delta.delta
            for later in version_deltas[index + 1 :]:
                delta = deltas.compose(delta, later.delta)
            return delta
    return None


def apply_update(
    held: Published | None, update: messages.Update
) -> result.Result[Published, str]:
    """Apply an update to the held version.

    Returns
    -------
    Result of Published or str
        The new version, or the error if the content is invalid, the base is not
        the held version or the digest does not match.
    """
    text_result = _read_text(held, update)
    if not isinstance(text_result, result.Success):
        return text_result
    text = text_result.unwrap()
    if hashlib.sha256(text.encode()).hexdigest() != update.digest:
        return result.Failure("digest mismatch")
    return result.Success(
        Published(
            update.version,
            update.configuration_version,
            update.digest,
            text,
            update.running_stops,
        )
    )


def _read_text(held, update):
    if update.base_version == 0:
        try:
            return result.Success(commands.decompress(update.content))
        except ValueError as error:
            return result.Failure(str(error))
    if held is None or held.version != update.base_version:
        return result.Failure("base of the delta is not the held version")
    return _decompress_delta(update.content).map(
        lambda delta: deltas.patch(held.text, delta)
    )
