"""Run experiments: ``python -m hickoryweir.load --scenario morning_burst``."""

import argparse
import pathlib

from hickoryweir.load import main


def parse_arguments() -> main.Arguments:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m hickoryweir.load")
    parser.add_argument("--scenario", action="append", default=[])
    parser.add_argument("--policy", action="append", default=[])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--without", action="append", default=[])
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--overview", action="store_true")
    options = parser.parse_args()
    return main.Arguments(
        tuple(options.scenario),
        tuple(options.policy),
        options.seeds,
        tuple(options.without),
        options.json,
        options.overview,
    )


if __name__ == "__main__":
    print(main.main(parse_arguments()))
