"""What is wrong with an INI file, and what would be right.

Examples
--------
>>> problem = Problem("a.ini", "callers", "port", "is 'x'", "a TCP port")
>>> print(problem)
a.ini: [callers] port: is 'x'; expected a TCP port
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault in a file.

    Attributes
    ----------
    file, section, key : str
        Where it is; the last two are empty when they don't apply.
    message : str
        What is wrong.
    expected : str
        What would be right.
    """

    file: str
    section: str
    key: str
    message: str
    expected: str

    def __str__(self) -> str:
        """Return the problem on one line."""
        place = f"[{self.section}] " if self.section else ""
        key = f"{self.key}: " if self.key else ""
        hint = f"; expected {self.expected}" if self.expected else ""
        return f"{self.file}: {place}{key}{self.message}{hint}"


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidInput:
    """Every problem found in one file."""

    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        """Return one line for each problem."""
        return "\n".join(str(problem) for problem in self.problems)
