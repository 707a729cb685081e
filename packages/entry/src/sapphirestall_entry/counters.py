"""Metrics of the process."""

import aioprometheus
import attrs


def _make_counter(
    registry: aioprometheus.Registry, name: str, text: str
) -> aioprometheus.Counter:
    return aioprometheus.Counter(name, text, registry=registry)


@attrs.define
class Counters:
    """Counters of refusals and retries, by part and reason code."""

    registry: aioprometheus.Registry = attrs.field(
        factory=aioprometheus.Registry
    )
    refusals: aioprometheus.Counter = attrs.field(init=False)
    retries: aioprometheus.Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Registers the metrics."""
        self.refusals = _make_counter(
            self.registry,
            "sapphirestall_refusals_total",
            "Refusals by part and reason code",
        )
        self.retries = _make_counter(
            self.registry,
            "sapphirestall_retries_total",
            "Retries by part and reason code",
        )

    def count_refusal(self, part: str, code: str) -> None:
        """Adds one refusal."""
        self.refusals.inc({"part": part, "code": code})

    def count_retry(self, part: str, code: str) -> None:
        """Adds one retry."""
        self.retries.inc({"part": part, "code": code})
