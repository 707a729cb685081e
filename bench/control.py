"""Measures the spread of a configuration and the traffic of peer links.

Runs in virtual time and prints one line for each case:

    python -m bench.control
"""

import collections

import attrs

from sapphirestall_core import operator_messages
from sapphirestall_core import peer_messages
from sapphirestall_entry import codec
from standins import virtual
from standins import world as world_module

DATA_CENTRES = ("atlanta", "memphis", "houston")
REGION_DATA_CENTRES = (*DATA_CENTRES, "sefrou", "imouzzer", "el-hajeb")
SETTLE_S = 20.0
OUTAGE_S = 60.0
LIMIT_S = 60.0


@attrs.frozen
class Spread:
    """How one patch spread.

    Attributes:
        seconds: From the patch, or the end of the outage, until in force
            everywhere.
        store_calls: Calls for the configuration key, after the settling time.
    """

    entries: int
    outage: bool
    seconds: float
    store_calls: int


def build(
    entries: int, data_centres: tuple[str, ...], seed: int
) -> world_module.World:
    """Returns a settled world of entry instances without other machines."""
    world = virtual.make_world(seed)
    for number in range(entries):
        data_centre = data_centres[number % len(data_centres)]
        world.add_entry(f"entry-{data_centre}-{number}", data_centre)
    world.run(SETTLE_S)
    return world


def count_calls(world: world_module.World) -> int:
    """Returns the number of store calls for the configuration so far."""
    return sum(
        world.counts[f"store {name}"]
        for name in ("StoreGet", "StorePut", "StoreWatch")
    )


def patch(world: world_module.World, version: int) -> str:
    """Sends a patch through the first instance; returns the call id."""
    command = operator_messages.PatchConfiguration(
        f"patch-{version}", version, {"teams": {"press": {"cpu_millis": 9}}}
    )
    return world.send_operator_command(next(iter(world.nodes)), command)


def is_in_force(world: world_module.World, version: int) -> bool:
    """Tells whether every running instance has a version in force."""
    return all(
        node.state.configuration.document.version >= version
        for node in world.nodes.values()
        if node.alive
    )


def measure_spread(entries: int, *, outage: bool, seed: int = 1) -> Spread:
    """Measures the spread of one patch.

    With an outage the store is down before the patch and the operator
    repeats the patch each second until it is accepted.
    """
    world = build(entries, DATA_CENTRES, seed)
    if outage:
        world.faults.store_down = True
        world.run(OUTAGE_S)
        world.faults.store_down = False
    before, start = count_calls(world), world.now
    call_id = patch(world, 0)
    while not is_in_force(world, 1) and world.now < start + LIMIT_S:
        world.run(0.1)
        result = world.results.get(call_id)
        if isinstance(result, operator_messages.Failure):
            world.run(1.0)
            call_id = patch(world, 0)
    calls = count_calls(world) - before
    return Spread(entries, outage, world.now - start, calls)


@attrs.frozen
class Traffic:
    """Encoded peer frames that one instance sends in a second.

    Attributes:
        most_bytes: Of the instance that sends most.
        parts: Mean bytes by message type.
    """

    entries: int
    data_centres: int
    mean_bytes: float
    most_bytes: float
    frames: float
    parts: dict[str, int]


def measure_links(
    entries: int, data_centres: tuple[str, ...], duration_s: float = SETTLE_S
) -> Traffic:
    """Measures encoded peer frames per instance in steady state."""
    world = build(entries, data_centres, 1)
    sizes: collections.Counter[str] = collections.Counter()
    senders: collections.Counter[str] = collections.Counter()
    frames = 0
    send = world_module.perform.dispatch(peer_messages.SendPeer)

    def observe(
        effect: peer_messages.SendPeer,
        node: world_module.Node,
        world: world_module.World,
    ) -> None:
        nonlocal frames
        size = len(codec.encode(effect.message))
        frames += 1
        sizes[type(effect.message).__name__] += size
        senders[node.state.identity.instance_id] += size
        send(effect, node, world)

    world_module.perform.register(peer_messages.SendPeer, observe)
    try:
        world.run(duration_s)
    finally:
        world_module.perform.register(peer_messages.SendPeer, send)
    share = entries * duration_s
    return Traffic(
        entries,
        len(data_centres),
        round(sum(sizes.values()) / share),
        round(max(senders.values()) / duration_s),
        round(frames / share, 1),
        {name: round(size / share) for name, size in sizes.items()},
    )


def run() -> None:
    """Prints all measurements."""
    for entries in (8, 48):
        for outage in (False, True):
            print(measure_spread(entries, outage=outage))
    print(measure_links(8, DATA_CENTRES))
    print(measure_links(48, DATA_CENTRES))
    print(measure_links(162, REGION_DATA_CENTRES))


if __name__ == "__main__":
    run()
