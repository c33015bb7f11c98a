"""Reloads settings while a process runs.

The file is checked every second and on SIGHUP.  Changes that need no restart are
applied; the others are logged and take effect at the next start.  To avoid loading a
partially written file, a change is applied only after two consecutive checks read
the same text, or on the signal.  An invalid file is ignored: the current settings
stay in force.
"""

import asyncio
import dataclasses
import pathlib
from collections.abc import Callable

from returns import result

from hickoryweir import background
from hickoryweir.entry import settings
from hickoryweir.observability import logs

# A change takes two checks to apply; that delay is acceptable for seeds and limits.
CHECK_INTERVAL_S = 1.0
# Keys by section that can change at run time; all others need a restart.
RELOADABLE_KEYS = {
    "process": ("seeds",),
    "replica": ("is_in_fault_budget",),
    "discovery": ("address", "rate_per_s"),
    "retries": ("ratio", "window_s", "extra_count"),
    "shutdown": ("grace_s",),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Difference between the current and the new settings.

    Attributes
    ----------
    entry_settings : settings.EntrySettings
        The current settings, updated by the reloadable keys.
    applied, deferred : tuple of str
        Keys that changed: those applied now, and those deferred to the next start.
    """

    entry_settings: settings.EntrySettings
    applied: tuple[str, ...]
    deferred: tuple[str, ...]


def compare(old: settings.EntrySettings, new: settings.EntrySettings) -> Change:
    """Compare the current settings with those in the file.

    Examples
    --------
    >>> parts = (settings.Ports(), settings.Replica(), settings.Discovery())
    >>> process = settings.Process(settings.Role.ROUTER, "10.0.0.1", "a", 7000)
    >>> make = lambda grace_s: settings.EntrySettings(
    ...     process, *parts, settings.Retries(), settings.Shutdown(grace_s))
    >>> compare(make(8.0), make(4.0)).applied
    ('shutdown.grace_s',)
    """
    entry_settings, applied, deferred = old, [], []
    for title in settings.SECTIONS:
        before, after = getattr(old, title), getattr(new, title)
        changed = [
            field.name
            for field in dataclasses.fields(before)
            if getattr(before, field.name) != getattr(after, field.name)
        ]
        reloadable = [
            name for name in changed if name in RELOADABLE_KEYS.get(title, ())
        ]
        applied += [f"{title}.{name}" for name in reloadable]
        deferred += [f"{title}.{name}" for name in changed if name not in reloadable]
        if reloadable:
            values = {name: getattr(after, name) for name in reloadable}
            section = dataclasses.replace(before, **values)
            entry_settings = dataclasses.replace(entry_settings, **{title: section})
    return Change(entry_settings, tuple(applied), tuple(deferred))


class Watcher:
    """Watches one settings file and applies its changes.

    Attributes
    ----------
    entry_settings : settings.EntrySettings
        The current settings.
    reload_requested : asyncio.Event
        Set on SIGHUP to reload the file immediately.
    """

    def __init__(
        self,
        path: pathlib.Path,
        entry_settings: settings.EntrySettings,
        apply: Callable[[settings.EntrySettings], None],
    ) -> None:
        self.entry_settings = entry_settings
        self.reload_requested = asyncio.Event()
        self._path = path
        self._apply = apply
        # None, as the file may have changed since it was read at startup.
        self._last_loaded: str | None = None
        self._last_read: str | None = None

    async def run(self) -> None:
        """Check the file every second and on each signal, until cancelled."""
        await background.keep_running("settings", self._watch)

    async def _watch(self) -> None:
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self.reload_requested.wait()
                self.reload_requested.clear()
                self.check(is_complete=True)
            except TimeoutError:
                self.check()

    def check(self, is_complete: bool = False) -> None:
        """Load the file if it has changed and is completely written.

        Parameters
        ----------
        is_complete : bool, optional
            Whether the file is known to be complete; otherwise two consecutive checks
            must read the same text.
        """
        text = self._read()
        is_stable = is_complete or text == self._last_read
        self._last_read = text
        if text is None or text == self._last_loaded or not is_stable:
            return
        self._last_loaded = text
        self._load(text)

    def _read(self) -> str | None:
        try:
            return self._path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            logs.warning("settings can't be read", logs.Fields(reason=str(error)))
            return None

    def _load(self, text: str) -> None:
        loaded = settings.parse(text, str(self._path))
        if isinstance(loaded, result.Failure):
            detail = str(loaded.failure())
            logs.error(
                "changed settings are invalid; those in force stay",
                logs.Fields(detail=detail),
            )
            return
        change = compare(self.entry_settings, loaded.unwrap())
        self.entry_settings = change.entry_settings
        if change.applied:
            self._apply(change.entry_settings)
            logs.info("settings changed", logs.Fields(detail=", ".join(change.applied)))
        if change.deferred:
            logs.warning(
                "settings wait for the next start",
                logs.Fields(detail=", ".join(change.deferred)),
            )
