"""Steps for status.feature.

The steps that build simulated deployments are in `configuration_steps`.
"""

import behave

from sapphirestall_core import instance
from sapphirestall_core import membership
from sapphirestall_core import operator_messages
from sapphirestall_core import state


def read_status(world, node_id):
    call_id = world.send_operator_command(
        node_id, operator_messages.ShowConfigurationStatus()
    )
    return world.results[call_id]


@behave.given("an entry instance that has not read the instance list")
def step(context):
    identity = state.Identity("alone", "alone-1", "atlanta", "a:1")
    context.alone = instance.build(identity)


@behave.when("the configuration status is requested")
def step(context):
    event = operator_messages.OperatorCalled(
        "call", operator_messages.ShowConfigurationStatus()
    )
    (context.effect,) = instance.handle(event, context.alone, 1.0)


@behave.then('the status says that the list was not read and not "everywhere"')
def step(context):
    status = context.effect.result
    assert not status.instances_listed
    assert not status.everywhere
    listing = membership.Listing(
        "alone", membership.Kind.ENTRY, "atlanta", "a:1"
    )
    event = membership.InstancesListed((listing,))
    instance.handle(event, context.alone, 1.0)
    event = operator_messages.OperatorCalled(
        "call", operator_messages.ShowConfigurationStatus()
    )
    (effect,) = instance.handle(event, context.alone, 1.0)
    assert effect.result.everywhere


@behave.when("one instance of another data centre is isolated for 10 s")
def step(context):
    world = context.world
    context.isolated = next(n for n in world.nodes if "houston" in n)
    world.disconnect(
        [context.isolated], [n for n in world.nodes if n != context.isolated]
    )
    world.run(10)


@behave.then("the status names exactly that instance as unreachable")
def step(context):
    context.status = read_status(context.world, context.first)
    assert context.status.unreachable == [context.isolated], context.status
    assert not context.status.everywhere


@behave.then("the status counts {count:d} listed instances")
def step(context, count):
    status = context.status
    assert len(status.in_force) + len(status.unreachable) == count, status


@behave.then('after 10 s the status of each instance says "everywhere"')
def step(context):
    context.world.run(10)
    for node_id in context.world.nodes:
        status = read_status(context.world, node_id)
        assert status.everywhere, status
        assert len(status.in_force) == len(context.world.nodes)
