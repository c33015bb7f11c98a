"""Runs the command line as ``python -m hickoryweir``."""

from hickoryweir.cli import main

if __name__ == "__main__":
    main.main()
