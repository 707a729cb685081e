"""Construction of an entry instance and registration of all handlers."""

from sapphirestall_core import control_plane
from sapphirestall_core import dispatch
from sapphirestall_core import health
from sapphirestall_core import messages
from sapphirestall_core import requests
from sapphirestall_core import slots
from sapphirestall_core import state
from sapphirestall_core import tasks

# Importing a module registers its handlers with `dispatch`.
HANDLER_MODULES = (control_plane, health, requests, tasks)


def build(identity: state.Identity) -> state.Instance:
    """Returns the state of a new entry instance."""
    timers = (*tasks.START_TIMERS, slots.SlotsDue(), health.HealthDue())
    return state.Instance(identity, start_timers=timers)


def handle(
    event: messages.Event, instance: state.Instance, now: float
) -> dispatch.Effects:
    """Handles an event; see `dispatch.handle`."""
    return dispatch.handle(event, instance, now)
