"""Random sequences that a range of seeds on the command line selects."""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

DEFAULT_ROUNDS = 2


class RoundsPlayer(Protocol):
    """Plays the sequence of a seed, which has several rounds of events."""

    def __call__(self, seed: int, rounds: int, *, mixed: bool) -> str:
        """Returns a description of what failed, empty if nothing did."""


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


def play(seeds: Iterable[int], play_one: Callable[[int], str]) -> None:
    """Plays random sequences and prints a line for each that failed.

    Args:
        seeds: Seeds of the sequences.
        play_one: Plays the sequence of a seed; returns a description of what
            failed, empty if nothing did.
    """
    played = failed = 0
    for seed in seeds:
        description = play_one(seed)
        played += 1
        if description:
            failed += 1
            print(f"seed {seed}: {description}", flush=True)
    print(f"{played} played, {failed} failed", flush=True)


def run(
    description: str | None, default: str, play_one: Callable[[int], str]
) -> None:
    """Plays the sequences that the command line names.

    Args:
        description: What the command does.
        default: First and last seed if the command line names none.
        play_one: See `play`.
    """
    parser = argparse.ArgumentParser(description=description)
    add_argument(parser, default)
    play(parser.parse_args().seeds, play_one)


def run_rounds(
    description: str | None, default: str, play_one: RoundsPlayer
) -> None:
    """Plays the same with the rounds, and the faults, that it names."""
    parser = argparse.ArgumentParser(description=description)
    add_argument(parser, default)
    parser.add_argument("--rounds", type=int, default=DEFAULT_ROUNDS)
    parser.add_argument("--mixed", action="store_true")
    arguments = parser.parse_args()
    rounds, mixed = arguments.rounds, arguments.mixed
    play(arguments.seeds, lambda seed: play_one(seed, rounds, mixed=mixed))
