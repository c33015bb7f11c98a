"""Commands that run a process: ``serve``, ``forward``, ``stand-in`` and ``load``.

Each function imports the modules that it needs, so that other commands start fast.
"""

import pathlib

from returns import result

from hickoryweir.cli import exits, files
from hickoryweir.configuration import settings


def serve(path: pathlib.Path) -> int:
    """Run the daemon with a settings file and return its exit code."""
    loaded = settings.load(path)
    if not isinstance(loaded, result.Success):
        return files.report(loaded.failure())
    from hickoryweir.daemon import main as daemon

    return daemon.serve(loaded.unwrap())


def forward(path: pathlib.Path) -> int:
    """Run a forwarding router or replica with the project's own formats."""
    from hickoryweir.entry import main as entry
    from hickoryweir.entry import own_formats

    return entry.serve(path, own_formats.make_adapters())


def stand_in(
    kind: str, name: str, serves: tuple[str, ...], host: str, port: int
) -> int:
    """Run a stand-in process until SIGTERM or SIGINT."""
    from hickoryweir.testing import daemons

    app = daemons.make_app(daemons.StandInKind(kind), name, serves)
    daemons.serve(app, host, port)
    return exits.ExitCode.SUCCESS


def load(
    scenarios: tuple[str, ...],
    policies: tuple[str, ...],
    seed_count: int,
    json_path: pathlib.Path | None,
) -> int:
    """Run experiments in simulated time and print the table of results."""
    from hickoryweir.load import main as experiments

    arguments = experiments.Arguments(
        scenarios, policies, seed_count, json_path=json_path
    )
    print(experiments.main(arguments))
    return exits.ExitCode.SUCCESS
