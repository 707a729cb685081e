"""Configuration of logging and format of log lines."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Mapping
import logging
import os
import re
import sys
import time

import attrs

FORMAT = "%(asctime)s %(levelname)s %(message)s"
# A value that contains one of these characters is quoted.
QUOTED_CHARACTERS = re.compile(r"[ \"'=]")
# Libraries whose informational messages are not needed to explain a decision.
VERBOSE_LOGGERS = ("websockets", "uvicorn", "asyncio")
# Rate limit of informational lines, and of all others. Writing a line takes
# processor time, so the number of lines must not grow with the load.
LINES_PER_S = 300
BURST_LINES = 1000
MAX_REPORTED_FAULTS = 10_000


def configure(level: str) -> None:
    """Writes log lines of a level and above to standard error."""
    logging.basicConfig(level=level.upper(), format=FORMAT)
    for library in VERBOSE_LOGGERS:
        logging.getLogger(library).setLevel(logging.WARNING)


class Formatter(logging.Formatter):
    """Formatter that computes the date and time once for each second.

    Attributes:
        second: Second of the last record, since the epoch.
        second_text: That second in local time.
    """

    def __init__(self) -> None:
        super().__init__(FORMAT)
        self.second = -1
        self.second_text = ""

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Returns the time of a record with milliseconds."""
        second = int(record.created)
        if second != self.second:
            self.second = second
            self.second_text = super().formatTime(record, "%Y-%m-%d %H:%M:%S")
        return f"{self.second_text},{int(record.msecs):03d}"


@attrs.define
class TokenBucket:
    """Rate limit of `LINES_PER_S` with bursts of `BURST_LINES`.

    Attributes:
        tokens: Number of lines that may be written now.
        refilled_at: Monotonic time to which `tokens` applies, in seconds.
    """

    tokens: float = float(BURST_LINES)
    refilled_at: float = 0.0

    def take_token(self, now: float) -> bool:
        """Returns whether a line may be written, and counts it if so."""
        refill = (now - self.refilled_at) * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class StdoutHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    Lines are dropped and counted if the pipe is full or if they exceed a rate
    limit. Informational lines have a limit of their own, so that they displace
    no others. The count is written with the next line that passes.

    Attributes:
        dropped: Number of lines dropped since the last one that was written.
    """

    def __init__(
        self, descriptor: int, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Sets the file descriptor to non-blocking mode.

        Args:
            descriptor: Open file descriptor.
            clock: Monotonic clock, in seconds.
        """
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._information = TokenBucket()
        self._warnings = TokenBucket()
        os.set_blocking(self._descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record or counts it as dropped."""
        is_information = record.levelno <= logging.INFO
        bucket = self._information if is_information else self._warnings
        if not bucket.take_token(self._clock()):
            self.dropped += 1
            return
        line = self.format(record) + "\n"
        if self.dropped:
            line = f"log: dropped lines={self.dropped}\n{line}"
        try:
            os.write(self._descriptor, line.encode(errors="backslashreplace"))
        except OSError:
            # A failure to write can't be logged; the next line that is written
            # gives the count.
            self.dropped += 1
        else:
            self.dropped = 0


@attrs.define
class FaultLog:
    """Writes one line about a fault, however often it comes back.

    Attributes:
        report: Writes a log line with a text and fields.
        reported: Keys of the faults that were reported. Once there are
            `MAX_REPORTED_FAULTS`, it is emptied, as others choose the keys.
    """

    report: Callable[[str, dict[str, object]], None]
    reported: set[Hashable] = attrs.field(factory=set)

    def report_once(
        self, key: Hashable, text: str, fields: dict[str, object]
    ) -> None:
        """Writes a log line unless one was written for the same key."""
        if key in self.reported:
            return
        if len(self.reported) >= MAX_REPORTED_FAULTS:
            self.reported.clear()
        self.reported.add(key)
        self.report(text, fields)


def configure_stdout() -> None:
    """Writes log lines to standard output without blocking."""
    # The format has no fields for thread, process and place in the code, so
    # collecting them would be wasted.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    handler: logging.Handler = logging.NullHandler()
    # It is None if the process was started with a closed standard output.
    if sys.stdout is not None:
        handler = StdoutHandler(sys.stdout.fileno())
        handler.setFormatter(Formatter())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    for library in VERBOSE_LOGGERS:
        logging.getLogger(library).setLevel(logging.WARNING)


def write_fault(place: str, error: BaseException) -> None:
    """Logs an unhandled exception raised in `place`, with its traceback."""
    logging.getLogger("process").error(
        "process: fault in %s", place, exc_info=error
    )


def write(part: str, text: str, fields: Mapping[str, object]) -> None:
    """Writes a line of the form `part: text name=value ...`.

    Values with spaces or quotes are quoted and line breaks are escaped, so that
    a value from another process cannot forge a field or a line.
    """
    parts = [f"{part}: {text}"]
    parts += [f"{name}={_quote(value)}" for name, value in fields.items()]
    logging.getLogger(part).info("%s", " ".join(parts))


def _quote(value: object) -> str:
    text = str(value)
    plain = text.isprintable() and not QUOTED_CHARACTERS.search(text)
    return text if plain and text else repr(text)
