"""Base classes of everything that enters or leaves the core."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class Event:
    """Something that happened; input to the core."""


@attrs.frozen
class Effect:
    """Something that the shell must do; output of the core."""


@attrs.frozen
class Timer:
    """Names a timer; comes back in `TimerFired`."""


@attrs.frozen
class StartTimer(Effect):
    """Asks for a `TimerFired` event after a delay.

    Attributes:
        timer: What to hand back.
        delay_s: Delay in seconds.
        jitter: Fraction by which the shell varies the delay at random, so that
            instances do not act in step.
    """

    timer: Timer
    delay_s: float
    jitter: float = 0.0


@attrs.frozen
class TimerFired(Event):
    """Reports that the delay of a timer has passed."""

    timer: Timer


@attrs.frozen
class Started(Event):
    """Reports that the process is ready to perform effects."""


@attrs.frozen
class ShutdownRequested(Event):
    """Asks the instance to drain and exit."""


@attrs.frozen
class Exit(Effect):
    """Tells the shell that nothing is in flight and the process may end."""


@attrs.frozen
class CountRefusal(Effect):
    """Adds one to the refusal counter of a reason code."""

    part: str
    code: str


@attrs.frozen
class CountRetry(Effect):
    """Adds one to the retry counter of a reason code."""

    part: str
    code: str


@attrs.frozen
class Log(Effect):
    """Writes one log line; `part` becomes its prefix."""

    part: str
    text: str
    fields: Mapping[str, object] = attrs.field(factory=dict)
