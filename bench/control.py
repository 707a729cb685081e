"""Measures the propagation of a configuration and the traffic of peer links.

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
TIMEOUT_S = 60.0


@attrs.frozen
class Propagation:
    """Time and cost of the propagation of one patch.

    Attributes:
        entries: Number of entry instances.
        outage: Whether the store was down before the patch.
        seconds: Time from the patch, which follows any outage, until the
            version is in force on all instances.
        store_calls: Number of store calls in this time.
    """

    entries: int
    outage: bool
    seconds: float
    store_calls: int


def build(
    entries: int, data_centres: tuple[str, ...], seed: int
) -> world_module.World:
    """Returns a settled world that contains only entry instances."""
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
    """Returns whether a version is in force on every running instance."""
    return all(
        node.state.configuration.document.version >= version
        for node in world.nodes.values()
        if node.alive
    )


def measure_propagation(
    entries: int, *, outage: bool, seed: int = 1
) -> Propagation:
    """Measures the propagation of one patch.

    With an outage, the store is down before the patch. A patch that fails is
    sent again after a second.
    """
    world = build(entries, DATA_CENTRES, seed)
    if outage:
        world.faults.store_down = True
        world.run(OUTAGE_S)
        world.faults.store_down = False
    before, start = count_calls(world), world.now
    call_id = patch(world, 0)
    while not is_in_force(world, 1) and world.now < start + TIMEOUT_S:
        world.run(0.1)
        result = world.results.get(call_id)
        if isinstance(result, operator_messages.Failure):
            world.run(1.0)
            call_id = patch(world, 0)
    calls = count_calls(world) - before
    return Propagation(entries, outage, world.now - start, calls)


@attrs.frozen
class Traffic:
    """Encoded peer frames that an instance sends in one second.

    Attributes:
        entries: Number of entry instances.
        data_centres: Number of data centres.
        mean_bytes: Mean number of bytes over the instances.
        most_bytes: Number of bytes of the instance that sends most.
        frames: Mean number of frames over the instances.
        bytes_by_type: Mean number of bytes, by message type.
    """

    entries: int
    data_centres: int
    mean_bytes: float
    most_bytes: float
    frames: float
    bytes_by_type: dict[str, int]


def measure_links(
    entries: int, data_centres: tuple[str, ...], duration_s: float = SETTLE_S
) -> Traffic:
    """Measures the encoded peer frames per instance in steady state."""
    world = build(entries, data_centres, 1)
    sizes_by_type: collections.Counter[str] = collections.Counter()
    sizes_by_instance: collections.Counter[str] = collections.Counter()
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
        sizes_by_type[type(effect.message).__name__] += size
        sizes_by_instance[node.state.identity.instance_id] += size
        send(effect, node, world)

    world_module.perform.register(peer_messages.SendPeer, observe)
    try:
        world.run(duration_s)
    finally:
        world_module.perform.register(peer_messages.SendPeer, send)
    instance_seconds = entries * duration_s
    return Traffic(
        entries,
        len(data_centres),
        round(sum(sizes_by_type.values()) / instance_seconds),
        round(max(sizes_by_instance.values()) / duration_s),
        round(frames / instance_seconds, 1),
        {
            name: round(size / instance_seconds)
            for name, size in sizes_by_type.items()
        },
    )


def run() -> None:
    """Prints all measurements."""
    for entries in (8, 48):
        for outage in (False, True):
            print(measure_propagation(entries, outage=outage))
    print(measure_links(8, DATA_CENTRES))
    print(measure_links(48, DATA_CENTRES))
    print(measure_links(162, REGION_DATA_CENTRES))


if __name__ == "__main__":
    run()
