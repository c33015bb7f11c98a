"""Commands on files: ``generate`` and ``check``."""

import pathlib
import sys

from returns import result

from hickoryweir.cli import exits
from hickoryweir.configuration import (
    blank,
    generator,
    parse,
    problems,
    questionnaire,
    render,
    settings,
)
from hickoryweir.replicas import inspect

EXPLAIN_COLUMN_WIDTHS = (26, 24, 10)


def read_text(path: pathlib.Path) -> result.Result[str, problems.InvalidInput]:
    """Return a file's text, or a problem if it can't be read."""
    try:
        return result.Success(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        problem = problems.Problem(str(path), "", "", str(error), "a readable file")
        return result.Failure(problems.InvalidInput((problem,)))


def report(error: problems.InvalidInput) -> int:
    """Print all problems on standard error and return the exit code."""
    print(error, file=sys.stderr)
    return exits.ExitCode.INVALID_FILE


def generate(answers: pathlib.Path, output: pathlib.Path | None, explain: bool) -> int:
    """Generate the configuration for an answers file.

    Parameters
    ----------
    answers : path
        The answers file.
    output : path or None
        Output file; None for standard output.
    explain : bool
        Print the reason for each derived number on standard error.

    Returns
    -------
    int
        Exit code.
    """
    generated = (
        read_text(answers)
        .bind(lambda text: questionnaire.parse(text, str(answers)))
        .bind(generator.derive)
    )
    if not isinstance(generated, result.Success):
        return report(generated.failure())
    derived = generated.unwrap()
    if explain:
        for derivation in derived.derivations:
            print(_format_derivation(derivation), file=sys.stderr)
    text = render.render(derived.configuration)
    if output is None:
        print(text, end="")
    else:
        output.write_text(text, encoding="utf-8")
        print(f"{output}: {derived.configuration.digest}", file=sys.stderr)
    return exits.ExitCode.SUCCESS


def _format_derivation(derivation: generator.Derivation) -> str:
    cells = (f"[{derivation.section}]", derivation.key, derivation.value)
    columns = (
        f"{cell:<{width}}"
        for cell, width in zip(cells, EXPLAIN_COLUMN_WIDTHS, strict=True)
    )
    return " ".join(columns) + f" {derivation.reason}"


def new_answers(output: pathlib.Path | None, interactive: bool) -> int:
    """Write a new answers file, blank or filled in interactively."""
    text = blank.ask(input) if interactive else blank.render_blank()
    if output is None:
        print(text, end="")
    else:
        output.write_text(text, encoding="utf-8")
    return exits.ExitCode.SUCCESS


def check(path: pathlib.Path) -> int:
    """Check settings, answers, a configuration or a data folder.

    The kind of a file is recognized by its sections.
    """
    if path.is_dir():
        return _check_data_folder(path)
    text = read_text(path)
    if not isinstance(text, result.Success):
        return report(text.failure())
    checked = _check_text(text.unwrap(), path)
    if not isinstance(checked, result.Success):
        return report(checked.failure())
    print(f"{path}: {checked.unwrap()}")
    return exits.ExitCode.SUCCESS


def _check_text(text, path):
    lines = {line.strip() for line in text.splitlines()}
    if "[process]" in lines:
        return settings.load(path).map(
            lambda value: f"settings of {value.process.name}, no problem"
        )
    if "[team]" in lines:
        return generator.generate_text(text, str(path)).map(
            lambda value: f"answers of {value.customer}, no problem"
        )
    if "[configuration]" in lines:
        return parse.parse(text, str(path)).map(
            lambda value: f"configuration of {value.customer}, digest {value.digest}"
        )
    problem = problems.Problem(
        str(path),
        "",
        "",
        "unknown kind of file",
        "[process], [team] or [configuration]",
    )
    return result.Failure(problems.InvalidInput((problem,)))


def _check_data_folder(path):
    found = inspect.check_folder(str(path))
    if found.failure is not None:
        problem = problems.Problem(str(path), "", "", str(found.failure), "")
        return report(problems.InvalidInput((problem,)))
    print(f"{path}: data folder of {found.member_id}, cluster {found.cluster_id}")
    print(f"  term {found.term}, entries {found.first_index} to {found.last_index}")
    print(f"  snapshot at {found.snapshot_index}: {found.snapshot_size_bytes} bytes")
    print(f"  torn tail: {found.torn_size_bytes} bytes, truncated at the next start")
    return exits.ExitCode.SUCCESS
