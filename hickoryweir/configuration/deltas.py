r"""Differences between two canonical texts, section by section.

Routers send each other deltas instead of whole texts.  Operators are shown the
keys that differ before they submit a change.

Examples
--------
>>> old = "# x\n\n[class a]\ntier = 0\n\n[class b]\ntier = 1\n"
>>> new = "# x\n\n[class a]\ntier = 2\n"
>>> delta = diff(old, new)
>>> delta.removed
('class b',)
>>> patch(old, delta) == new
True
"""

import dataclasses

from hickoryweir.streams import codec

SEPARATOR = "\n["


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """Changed and added sections, and the titles of removed sections."""

    header: str
    changed: tuple[str, ...]
    removed: tuple[str, ...]


codec.register("cfg.delta", Delta)


def _split_sections(text: str) -> tuple[str, dict[str, str]]:
    header, *bodies = text.split(SEPARATOR)
    return header, {body.partition("]")[0]: body for body in bodies}


def _sort_key(title: str) -> tuple[str, str]:
    kind, _, name = title.partition(" ")
    return kind, name


def diff(old: str, new: str) -> Delta:
    """Return the delta between two canonical texts.

    Parameters
    ----------
    old, new : str
        Texts as :func:`hickoryweir.configuration.render.render` writes them.

    Returns
    -------
    Delta
        ``patch(old, delta)`` is ``new``.
    """
    _, before = _split_sections(old)
    header, after = _split_sections(new)
    changed = tuple(body for title, body in after.items() if before.get(title) != body)
    removed = tuple(title for title in before if title not in after)
    return Delta(header, changed, removed)


def patch(old: str, delta: Delta) -> str:
    """Return the text that results from applying `delta` to `old`."""
    _, sections = _split_sections(old)
    for title in delta.removed:
        sections.pop(title, None)
    for body in delta.changed:
        sections[body.partition("]")[0]] = body
    ordered = (sections[title] for title in sorted(sections, key=_sort_key))
    return SEPARATOR.join((delta.header, *_end_with_newline(ordered)))


def _end_with_newline(bodies):
    """Return section bodies that each end in exactly one newline."""
    return (body.rstrip("\n") + "\n" for body in bodies)


def compose(first: Delta, second: Delta) -> Delta:
    """Return the delta equivalent to applying `first` and then `second`."""
    changed = {body.partition("]")[0]: body for body in first.changed}
    for title in second.removed:
        changed.pop(title, None)
    changed |= {body.partition("]")[0]: body for body in second.changed}
    removed = {*first.removed, *second.removed} - changed.keys()
    return Delta(second.header, tuple(changed.values()), tuple(sorted(removed)))


def describe(old: str, new: str) -> tuple[str, ...]:
    r"""Return one line for each section or key that differs, for operators.

    Examples
    --------
    >>> describe("#\n\n[class a]\ntier = 0\n", "#\n\n[class a]\ntier = 1\n")
    ('[class a] tier: 0 -> 1',)
    """
    _, before = _split_sections(old)
    _, after = _split_sections(new)
    lines: list[str] = []
    for title in sorted(before.keys() | after.keys(), key=_sort_key):
        if title not in after:
            lines.append(f"[{title}] removed")
        elif title not in before:
            lines.append(f"[{title}] added")
        elif before[title] != after[title]:
            lines += _describe_keys(title, before[title], after[title])
    return tuple(lines)


def _describe_keys(title, before, after):
    old = _parse_keys(before)
    new = _parse_keys(after)
    for key in dict.fromkeys((*old, *new)):
        if old.get(key) != new.get(key):
            yield f"[{title}] {key}: {old.get(key, '-')} -> {new.get(key, '-')}"


def _parse_keys(body):
    pairs = (line.partition("=") for line in body.splitlines()[1:] if "=" in line)
    return {key.strip(): value.strip() for key, _, value in pairs}
