"""The tests named in docs/promises.md exist, and links between pages resolve."""

import pathlib
import re

import hickoryweir

ROOT = pathlib.Path(hickoryweir.__file__).parents[1]


def test_named_tests_exist():
    page = (ROOT / "docs" / "promises.md").read_text()
    named = set(re.findall(r"`(test_[a-z0-9_]+)`", page))
    patterns = ("hickoryweir/**/test_*.py", "spec/tests/*.py", "platform/tests/*.py")
    files = [path for pattern in patterns for path in ROOT.glob(pattern)]
    code = "\n".join(path.read_text() for path in files)
    assert named
    assert [name for name in sorted(named) if f"def {name}(" not in code] == []


def test_links_between_pages_resolve():
    broken = []
    for page in [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]:
        for link in re.findall(r"\]\(([^)#:]+\.(?:md|txt))\)", page.read_text()):
            if link != "KNOWN-RED.txt" and not (page.parent / link).exists():
                broken.append(f"{page.name}: {link}")
    assert broken == []
