"""Run the command line as ``python -m hickoryweir``."""

import sys

from hickoryweir import early_signals, process_exit

LONG_RUNNING_COMMANDS = ("forward", "serve")
IS_LONG_RUNNING = sys.argv[1:2] and sys.argv[1] in LONG_RUNNING_COMMANDS
if __name__ == "__main__" and IS_LONG_RUNNING:
    early_signals.install_handlers()

from hickoryweir.cli import main  # noqa: E402

if __name__ == "__main__":
    try:
        main.main()
    except SystemExit as ending:
        if not IS_LONG_RUNNING or not isinstance(ending.code, int):
            raise
        process_exit.exit_at_once(ending.code)
