"""Logging set-up."""

import logging

FORMAT = "%(asctime)s %(levelname)s %(message)s"


def configure(level: str) -> None:
    """Sends log lines of a level and above to standard error."""
    logging.basicConfig(level=level.upper(), format=FORMAT)
    logging.getLogger("websockets").setLevel(logging.WARNING)
