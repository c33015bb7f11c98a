"""Messages about software versions, and where streams began, as each side's state."""

from collections.abc import Iterable

from hickoryweir import clocks
from hickoryweir.feeds import messages
from hickoryweir.forwarding_policy import stream_versions

# Longer than a stream and the time for which its client comes back.
ORIGINS_RETENTION_S = 120.0
# About 4 kB.
MAX_ORIGINS_PER_MESSAGE = 400


def make_origin(
    message: messages.StreamOrigins, lifetime_s: float
) -> stream_versions.Origin:
    """Return the origin that a message announces."""
    now_s = clocks.boottime_s()
    return stream_versions.Origin(
        message.service_name,
        message.software_version,
        stream_versions.Source.ANNOUNCED,
        now_s,
        now_s + lifetime_s,
    )


def make_stream_origins(
    origins: Iterable[tuple[int, stream_versions.Origin]],
) -> list[messages.StreamOrigins]:
    """Return messages that announce the origins of streams that are still alive."""
    now_s = clocks.boottime_s()
    keys: dict[tuple[str, str], list[int]] = {}
    for key, origin in origins:
        if origin.version is not None and origin.expires_at_s > now_s:
            keys.setdefault((origin.service_name, origin.version), []).append(key)
    return [
        messages.StreamOrigins(*pair, tuple(found[at : at + MAX_ORIGINS_PER_MESSAGE]))
        for pair, found in keys.items()
        for at in range(0, len(found), MAX_ORIGINS_PER_MESSAGE)
    ]


def make_listed_versions(
    state: stream_versions.StreamVersions, retention_s: float
) -> messages.ListedVersions:
    """Return the versions of the services that have had more than one lately."""
    now_s = clocks.boottime_s()
    names = {name for name, _ in state.listed_at_s}
    found = {
        name: stream_versions.versions_in_use(state, name, now_s, retention_s)
        for name in names
    }
    return messages.ListedVersions(
        tuple(
            messages.ListedVersion(
                name, version, now_s - state.listed_at_s[name, version]
            )
            for name, versions in sorted(found.items())
            if len(versions) > 1
            for version in versions
        )
    )


def add_listed_versions(
    state: stream_versions.StreamVersions, message: messages.ListedVersions
) -> None:
    """Store versions that another process has seen in a list."""
    now_s = clocks.boottime_s()
    for item in message.versions:
        pair = (item.service_name, item.software_version)
        stream_versions.record_listed(state, [pair], now_s - item.age_s)
