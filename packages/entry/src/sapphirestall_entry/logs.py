"""Logging set-up and the form of log lines."""

from collections.abc import Mapping
import logging
import os
import sys

FORMAT = "%(asctime)s %(levelname)s %(message)s"
# Libraries whose information lines tell nothing of a decision.
NOISY = ("websockets", "uvicorn", "asyncio")


def configure(level: str) -> None:
    """Sends log lines of a level and above to standard error."""
    logging.basicConfig(level=level.upper(), format=FORMAT)
    for noisy in NOISY:
        logging.getLogger(noisy).setLevel(logging.WARNING)


class StdoutHandler(logging.Handler):
    """Writes lines to standard output and never waits for its reader.

    Lines that the pipe does not take are dropped and counted; the count is
    written with the next line that passes.
    """

    def __init__(self) -> None:
        super().__init__()
        self._file = sys.stdout.fileno()
        self._dropped = 0
        os.set_blocking(self._file, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record, or counts it as dropped."""
        line = self.format(record) + "\n"
        if self._dropped:
            line = f"log: dropped lines={self._dropped}\n{line}"
        try:
            os.write(self._file, line.encode())
        except OSError:
            # There is no other place to report this; the count is the report.
            self._dropped += 1
        else:
            self._dropped = 0


def configure_stdout() -> None:
    """Sends log lines to standard output without ever blocking on it."""
    handler = StdoutHandler()
    handler.setFormatter(logging.Formatter(FORMAT))
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    for noisy in NOISY:
        logging.getLogger(noisy).setLevel(logging.WARNING)


def write_fault(place: str, error: BaseException) -> None:
    """Writes an exception that nothing else handles, with its traceback."""
    logging.getLogger("process").error(
        "process: fault in %s", place, exc_info=error
    )


def write(part: str, text: str, fields: Mapping[str, object]) -> None:
    """Writes a line `part: text name=value ...`.

    A value with a space or quote is quoted, and a line break is escaped, so
    that a value from outside cannot make up a line or a field.
    """
    parts = [f"{part}: {text}"]
    parts += [f"{name}={_quote(value)}" for name, value in fields.items()]
    logging.getLogger(part).info("%s", " ".join(parts))


def _quote(value: object) -> str:
    text = str(value)
    plain = text.isprintable() and not set(text) & set(" \"'=")
    return text if plain and text else repr(text)
