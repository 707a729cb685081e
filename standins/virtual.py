"""Runs entry instances against in-memory stand-ins in virtual time."""

from standins import world
from standins import world_executors
from standins import world_store
from standins import world_workers

# Importing these modules registers how their effects are performed.
MODULES = (world_executors, world_store, world_workers)


def make_world(seed: int) -> world.World:
    """Returns an empty simulation."""
    return world.World(seed=seed)
