"""Steps for configuration.feature."""

import behave

from bench import control
from sapphirestall_core import configuration
from sapphirestall_core import instance
from sapphirestall_core import messages
from sapphirestall_core import operator_messages
from sapphirestall_core import peer_messages
from sapphirestall_core import state
from sapphirestall_core import store_messages
from standins import world as world_module

TEAM = {"teams": {"press": {"cpu_millis": 9}}}
KEY = "configuration"


def make_patch(version, patch=None, name="patch", preview=False):
    return operator_messages.PatchConfiguration(
        name, version, TEAM if patch is None else patch, preview
    )


def read_versions(world):
    return {
        node.state.configuration.document.version
        for node in world.nodes.values()
        if node.alive
    }


def store_document(world, document):
    version = world.store.items[KEY].version if KEY in world.store.items else 0
    world.store.put(KEY, document, version, None)


def deliver_from_peer(world, document):
    first = next(iter(world.nodes))
    message = peer_messages.ConfigurationSent(
        document.version, document.body, document.patch_ids
    )
    for node in world.nodes.values():
        world.deliver(node, peer_messages.PeerReceived(first, message))


@behave.given(
    "a simulated deployment of {entries:d} entry instances, seed {seed:d}"
)
def step(context, entries, seed):
    context.world = control.build(entries, control.DATA_CENTRES, seed)
    context.first = next(iter(context.world.nodes))


def fail_before_patch(world, fault):
    """Injects a fault; ends it if it is to be over before the patch."""
    others = [n for n in world.nodes if "atlanta" not in n]
    houston = [n for n in world.nodes if "houston" in n]
    if fault == "messages are lost":
        world.faults.loss = 0.3
    elif fault == "the store was down":
        world.faults.store_down = True
        world.run(60)
        world.faults.store_down = False
    elif fault == "a data centre was isolated":
        rest = [n for n in world.nodes if n not in houston]
        world.disconnect(houston, [*rest, world_module.STORE])
        world.run(60)
        world.faults.disconnected.clear()
    elif fault == "watches are interrupted":
        world.disconnect(others, [world_module.STORE])
    else:
        assert fault == "nothing fails", fault


@behave.when("the configuration is patched while {fault}")
def step(context, fault):
    world = context.world
    fail_before_patch(world, fault)
    context.calls_before = control.count_calls(world)
    context.started = world.now
    control.patch(world, 0)


@behave.then("the configuration is in force everywhere within {limit:d} s")
def step(context, limit):
    world = context.world
    assert world.run_until(lambda: control.is_in_force(world, 1), limit)
    context.calls = control.count_calls(world) - context.calls_before


@behave.then("the patch took at most {calls:d} store calls")
def step(context, calls):
    assert context.calls <= calls, context.calls


@behave.given("the configuration store loses {share:f} of its replies")
def step(context, share):
    context.world.faults.lost_answers = share


@behave.when("{count:d} operators patch version 0 concurrently")
def step(context, count):
    world = context.world
    nodes = list(world.nodes)
    context.calls = {
        f"patch-{n}": world.send_operator_command(
            nodes[n], make_patch(0, {"teams": {f"t{n}": {}}}, f"patch-{n}")
        )
        for n in range(count)
    }
    world.run(20)


@behave.then(
    "one of the concurrent patches is accepted and no refusal is false"
)
def step(context):
    results = {
        name: context.world.results[call]
        for name, call in context.calls.items()
    }
    accepted_id = context.world.store.items[KEY].value.patch_ids[0]
    for name, result in results.items():
        if name == accepted_id:
            # If the reply to the write was lost, the outcome may be reported as
            # unknown, but not as refused.
            assert not isinstance(result, operator_messages.Failure), result
        else:
            assert not isinstance(
                result, operator_messages.ConfigurationShown
            ), result
    context.accepted_id = accepted_id


@behave.then("version 1 contains the accepted patch")
def step(context):
    document = context.world.store.items[KEY].value
    team = context.accepted_id.replace("patch-", "t")
    assert document.version == 1, document
    assert list(document.body["teams"]) == [team], document


def fail_patch(world, fault):
    """Injects a fault and returns the patch to send."""
    if fault == "the store stays down":
        world.faults.store_down = True
    elif fault == "every write reply is lost and reads fail":
        world.faults.lost_answers = 1.0
        # The write takes effect between two reads; then the store fails.
        world.schedule(0.006, lambda: setattr(world.faults, "store_down", True))
    elif fault == "every write meets a conflict":
        disturb_store(world)
    elif fault == "the store was reverted":
        deliver_from_peer(world, configuration.Document(5, TEAM))
    elif fault == "the base version is old":
        store_document(world, configuration.Document(3, TEAM))
    elif fault == "the body is invalid":
        return make_patch(0, {"services": 3})
    elif fault == "the body is too large":
        teams = {f"team-{n}-{'x' * 900}": {} for n in range(1000)}
        return make_patch(0, {"teams": teams})
    return make_patch(0)


def disturb_store(world):
    # Raises the version of the stored document without changing the
    # document, between the read and the write of each try.
    store_document(world, configuration.Document())
    world.schedule(0.002, lambda: disturb_store(world))


@behave.when("a patch is sent while {fault}")
def step(context, fault):
    command = fail_patch(context.world, fault)
    context.call = context.world.send_operator_command(context.first, command)


@behave.then("the patch ends within {limit:d} s as {result} with code {code:w}")
def step(context, limit, result, code):
    world = context.world
    assert world.run_until(lambda: context.call in world.results, limit)
    got = world.results[context.call]
    assert type(got).__name__ == result, got
    assert got.code == code, got


@behave.when("one patch is sent twice with the same patch id")
def step(context):
    world = context.world
    context.sent = []
    for _ in range(2):
        context.sent.append(
            world.send_operator_command(context.first, make_patch(0))
        )
        world.run(1)


@behave.then("both calls are answered with version {version:d}")
def step(context, version):
    for call in context.sent:
        assert context.world.results[call].version == version


@behave.then("the configuration stays at version {version:d}")
def step(context, version):
    context.world.run(5)
    assert read_versions(context.world) == {version}


@behave.when("a patch that adds a team is previewed")
def step(context):
    command = make_patch(0, preview=True)
    context.call = context.world.send_operator_command(context.first, command)
    context.world.run(1)


@behave.then('the preview names the path "{path}"')
def step(context, path):
    preview = context.world.results[context.call]
    assert preview.version == 1, preview
    assert [change.path for change in preview.changes] == [path], preview


@behave.given("version {version:d} is in force in all of them")
def step(context, version):
    document = configuration.Document(version, TEAM)
    store_document(context.world, document)
    deliver_from_peer(context.world, document)
    assert read_versions(context.world) == {version}


def deliver(world, document, source):
    if source == "a peer":
        deliver_from_peer(world, document)
    else:
        store_document(world, document)
        world.run(90)


@behave.when("version {version:d} arrives from {source}")
def step(context, version, source):
    other = configuration.Document(version, {"teams": {"other": {}}})
    deliver(context.world, other, source)


@behave.when("version {version:d} with an unknown key arrives from {source}")
def step(context, version, source):
    document = configuration.Document(version, {"colour": "red"})
    deliver(context.world, document, source)


@behave.then("every instance has version {version:d} in force")
def step(context, version):
    assert read_versions(context.world) == {version}
    for node in context.world.nodes.values():
        assert "other" not in node.state.policy.teams


@behave.then("the rejected body is counted and recorded in the journal")
def step(context):
    world = context.world
    assert world.counts["refusal configuration body_rejected"] >= 3
    call = world.send_operator_command(
        context.first, operator_messages.Explain(KEY)
    )
    actions = [entry.action for entry in world.results[call].decisions]
    assert actions == ["reject"], actions


@behave.then("a valid version {version:d} is adopted from a peer")
def step(context, version):
    document = configuration.Document(version, TEAM)
    deliver_from_peer(context.world, document)
    assert read_versions(context.world) == {version}


@behave.when(
    "the store goes down and an unlisted instance with seed peers starts"
)
def step(context):
    world = context.world
    world.faults.store_down = True
    identity = state.Identity(
        "new", "new-1", "atlanta", "new", seed_peers={context.first: "a:1"}
    )
    context.new = world_module.Node(instance.build(identity))
    world.nodes["new"] = context.new
    world.deliver(context.new, messages.Started())


@behave.then("the new instance has version {version:d} within {limit:d} s")
def step(context, version, limit):
    held = context.new.state.configuration
    assert context.world.run_until(
        lambda: held.document.version == version, limit
    )


@behave.then("the new instance is not ready because the list was not read")
def step(context):
    world = context.world
    call = world.send_operator_command("new", operator_messages.ShowReadiness())
    shown = world.results[call]
    assert not shown.ready
    assert shown.reasons == [
        "the list of instances was not read",
        "leaving records of peers may not have arrived",
    ], shown


@behave.when(
    "a data centre is isolated for 60 s and version 1 is accepted elsewhere"
)
def step(context):
    world = context.world
    isolated = [n for n in world.nodes if "houston" in n]
    rest = [n for n in world.nodes if n not in isolated]
    world.disconnect(isolated, [*rest, world_module.STORE])
    world.run(30)
    control.patch(world, 0)
    world.run(30)
    assert read_versions(world) == {0, 1}
    world.faults.disconnected.clear()


@behave.then(
    "after the partition all instances have version 1 within {limit:d} s"
)
def step(context, limit):
    world = context.world
    assert world.run_until(lambda: control.is_in_force(world, 1), limit)


@behave.when("{count:d} patches are accepted one after another")
def step(context, count):
    world = context.world
    for version in range(count):
        patch = {"teams": {"press": {"cpu_millis": version}}}
        command = make_patch(version, patch, f"patch-{version}")
        world.send_operator_command(context.first, command)
        world.run(1)
    assert read_versions(world) == {count}


@behave.then(
    "the following 300 s take at most {calls:d} store calls for the "
    "configuration"
)
def step(context, calls):
    # Each of three instances reads every 30 s, and watches take 30 s: 60 calls.
    world = context.world
    before = world.counts["configuration calls"]
    count = {"calls": 0}
    perform = world_module.perform.registry[store_messages.StoreEffect]

    def watch(effect, node, inner):
        key = getattr(effect, "key", getattr(effect, "prefix", ""))
        count["calls"] += key == KEY
        perform(effect, node, inner)

    world_module.perform.register(store_messages.StoreEffect, watch)
    try:
        world.run(300)
    finally:
        world_module.perform.register(store_messages.StoreEffect, perform)
    assert before == 0
    assert 0 < count["calls"] <= calls, count
