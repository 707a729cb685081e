"""Reads of the operators' configuration.

A watch may be interrupted or may miss changes without an error, so each
instance polls the newest version, several times within the time in which a new
version must come into force.
"""

import attrs

from sapphirestall_core import messages
from sapphirestall_core.batch import dispatch
from sapphirestall_core.batch import model
from sapphirestall_core.batch import state

PART = "configuration"
# Interval of reads, as a share of the time within which a new version must be
# in force. A read that gets no answer in time is followed by another one.
READ_INTERVAL_SHARE = 0.3


@attrs.frozen
class ReadConfiguration(messages.Effect):
    """Reads the newest configuration."""


@attrs.frozen
class ConfigurationRead(messages.Event):
    """Reports that a read of the configuration has ended.

    Attributes:
        configuration: The newest version; None if the read failed.
        revision: Revision of the store at the read; 0 if it is not known.
    """

    configuration: model.Configuration | None
    revision: int = 0


@attrs.frozen
class ConfigurationDue(messages.Timer):
    """Timer to read the configuration."""


@dispatch.handle_timer.register(ConfigurationDue)
def read_configuration(
    timer: ConfigurationDue, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Reads the configuration.

    The result of this read starts the timer of the next one.
    """
    return [ReadConfiguration()]


@dispatch.handle.register(ConfigurationRead)
def apply_configuration(
    event: ConfigurationRead, batch: state.Batch, now: float
) -> dispatch.Effects:
    """Puts a configuration into force if it is newer than the current one.

    An instance that owns nothing calls the store for little else, and learns
    from these reads when the store had reached which revision.
    """
    if event.revision:
        batch.revision_times.record(event.revision, now)
    interval_s = READ_INTERVAL_SHARE * batch.identity.limits.configuration_s
    effects: dispatch.Effects = [
        messages.StartTimer(ConfigurationDue(), interval_s, 0.1)
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
