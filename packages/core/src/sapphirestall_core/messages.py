"""Base classes of the events that the core handles and of its effects."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class Event:
    """Base of the inputs to the core: facts reported by the shell."""


@attrs.frozen
class Effect:
    """Base of the outputs of the core: work that the shell performs."""


@attrs.frozen
class Timer:
    """Base of the timers; the class identifies the work that is due."""


@attrs.frozen
class StartTimer(Effect):
    """Requests a `TimerFired` event after a delay.

    Attributes:
        timer: Timer that the event carries.
        delay_s: Delay in seconds.
        jitter: Fraction by which the shell varies the delay at random, so that
            the timers of different instances do not synchronise.
    """

    timer: Timer
    delay_s: float
    jitter: float = 0.0


@attrs.frozen
class TimerFired(Event):
    """Reports that the delay of a timer has elapsed."""

    timer: Timer


@attrs.frozen
class Started(Event):
    """Reports that the process is ready to perform effects."""


@attrs.frozen
class ShutdownRequested(Event):
    """Reports that a graceful shutdown of the instance was requested."""


@attrs.frozen
class Exit(Effect):
    """Ends the process."""


@attrs.frozen
class CountRefusal(Effect):
    """Increments the refusal counter of a part and a reason code."""

    part: str
    code: str


@attrs.frozen
class CountRetry(Effect):
    """Increments the retry counter of a part and a reason code."""

    part: str
    code: str


@attrs.frozen
class Log(Effect):
    """Writes one log line.

    Attributes:
        part: Functional area that logs; the prefix of the line.
        text: Message text.
        fields: Structured fields, appended to the text.
    """

    part: str
    text: str
    fields: Mapping[str, object] = attrs.field(factory=dict)
