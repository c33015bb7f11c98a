"""Problems found in an input file, with the value that is expected.

Examples
--------
>>> problem = Problem("a.ini", "callers", "port", "is 'x'", "a TCP port")
>>> print(problem)
a.ini: [callers] port: is 'x'; expected a TCP port
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem in a file.

    Attributes
    ----------
    file, section, key : str
        Location; the last two are empty if they don't apply.
    message : str
        Description of the problem.
    expected : str
        Description of a valid value; empty if there is none.
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
