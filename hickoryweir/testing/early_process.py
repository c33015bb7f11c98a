"""Runs a router or replica that opens the clients' port before the slow imports.

Entry points of deployments may start a process like this::

    python -m hickoryweir.testing.early_process SETTINGS.ini
"""

import pathlib
import sys

from hickoryweir import early_listener, early_signals, fast_imports, process_exit


def run(path: pathlib.Path) -> None:
    """Open the port, import the rest, and serve until a stop; this does not return."""
    early_signals.install_handlers()
    early_listener.open_from(path)
    fast_imports.omit_certificate_store()
    # Imported late, since these imports are the slow ones.
    from hickoryweir.entry import main, own_formats

    process_exit.exit_at_once(main.serve(path, own_formats.make_adapters()))


if __name__ == "__main__":
    run(pathlib.Path(sys.argv[1]))
