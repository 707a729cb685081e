"""The operators' configuration, read again and again.

A watch can be cut or stay silent, so each instance reads the newest version
several times within the time in which it must be in force.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import model
from sapphirestall_core.batch import state

PART = "configuration"
INTERVAL_S = 0.6


@attrs.frozen
class ReadConfiguration(messages.Effect):
    """Reads the newest configuration."""


@attrs.frozen
class ConfigurationRead(messages.Event):
    """The configuration that the store holds; None when it was not read."""

    configuration: model.Configuration | None


@attrs.frozen
class ConfigurationDue(messages.Timer):
    """Reads the configuration again."""


@dispatch.handle_timer.register(ConfigurationDue)
def read_again(
    timer: ConfigurationDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the configuration; the next read follows the answer."""
    return [ReadConfiguration()]


@dispatch.handle.register(ConfigurationRead)
def adopt(
    event: ConfigurationRead, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Adopts a configuration that is newer than the one in force."""
    effects: dispatch.Effects = [
        messages.StartTimer(ConfigurationDue(), INTERVAL_S, 0.1)
    ]
    new, old = event.configuration, batch.configuration
    if new is None or (old is not None and new.version <= old.version):
        return effects
    batch.configuration = new
    for partition in batch.partitions.values():
        for job in partition.jobs.values():
            job.queue = new.get_queue(job.queue.name) or job.queue
    fields = {
        "version": new.version,
        "before": old.version if old else 0,
        "queues": len(new.queues),
    }
    return [messages.Log(PART, "adopted", fields), *effects]
