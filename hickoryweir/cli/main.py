"""The ``hickoryweir`` command.

Each subcommand consists of a data class with its arguments and a function that runs
it and returns an exit code (:mod:`hickoryweir.cli.exits`).
"""

import dataclasses
import os
import pathlib
import sys
from typing import Annotated

import cappa

import hickoryweir
from hickoryweir.cli import (
    exits,
    explain_commands,
    files,
    operator_commands,
    process_commands,
    replica_commands,
)


def _run_generate(command: "Generate") -> int:
    if command.new or command.ask:
        return files.new_answers(command.output, command.ask)
    if command.answers is None:
        raise cappa.Exit("an answers file, --new or --ask is required", code=2)
    return files.generate(command.answers, command.output, command.explain)


@cappa.command(invoke=_run_generate, help="Generate a configuration from answers.")
@dataclasses.dataclass
class Generate:
    """Arguments of ``generate``."""

    answers: Annotated[pathlib.Path | None, cappa.Arg(help="Answers file.")] = None
    output: Annotated[
        pathlib.Path | None,
        cappa.Arg(short="-o", long=True, help="Output file; default: standard output."),
    ] = None
    explain: Annotated[
        bool, cappa.Arg(long=True, help="Print the reason for each derived number.")
    ] = False
    new: Annotated[
        bool, cappa.Arg(long=True, help="Write a blank answers file instead.")
    ] = False
    ask: Annotated[
        bool, cappa.Arg(long=True, help="Ask for the answers interactively.")
    ] = False


def _run_check(command: "Check") -> int:
    return files.check(command.file)


@cappa.command(
    invoke=_run_check, help="Check settings, answers, a configuration or a data folder."
)
@dataclasses.dataclass
class Check:
    """Arguments of ``check``."""

    file: Annotated[pathlib.Path, cappa.Arg(help="File or data folder.")]


@cappa.command(
    name="hickoryweir",
    help="Route language-model traffic by service level and priority.",
    description=exits.SUMMARY,
)
@dataclasses.dataclass
class Hickoryweir:
    """The command with its subcommands."""

    command: cappa.Subcommands[
        Generate
        | Check
        | process_commands.Serve
        | process_commands.Forward
        | operator_commands.Submit
        | operator_commands.Rollback
        | operator_commands.Stop
        | operator_commands.Status
        | operator_commands.History
        | operator_commands.Keys
        | explain_commands.Explain
        | replica_commands.Members
        | replica_commands.ReplaceReplica
        | process_commands.Load
        | process_commands.StandIn
    ]


def main(arguments: list[str] | None = None) -> None:
    """Run the command and exit with its code.

    Parameters
    ----------
    arguments : list of str, optional
        Arguments without the program name; by default those of the process.
    """
    try:
        code = cappa.invoke(
            Hickoryweir,
            argv=sys.argv[1:] if arguments is None else arguments,
            version=hickoryweir.__version__,
        )
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe early.  Redirecting standard output to the null
        # device keeps the flush at exit from failing again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = exits.ExitCode.SUCCESS
    sys.exit(int(code))
