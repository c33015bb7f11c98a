"""Run the command line as ``python -m hickoryweir``."""

import sys

from hickoryweir import early_signals

LONG_RUNNING_COMMANDS = ("forward", "serve")
if __name__ == "__main__" and sys.argv[1:2] and sys.argv[1] in LONG_RUNNING_COMMANDS:
    early_signals.install_handlers()

from hickoryweir.cli import main  # noqa: E402

if __name__ == "__main__":
    main.main()
