"""Seeds of random sequences on the command line."""

import argparse


def parse_range(text: str) -> range:
    """Parses a range of seeds, such as `1-20`, or a single seed."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def add_argument(parser: argparse.ArgumentParser, default: str) -> None:
    """Adds the argument that names the first and the last seed."""
    parser.add_argument(
        "--seeds",
        type=parse_range,
        default=default,
        help="first and last seed",
    )
