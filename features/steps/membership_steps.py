"""Steps for membership.feature."""

import collections

import attrs
import behave

from bench import control
from sapphirestall_core import heartbeats
from sapphirestall_core import instance
from sapphirestall_core import links
from sapphirestall_core import liveness
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_core import peer_messages
from sapphirestall_core import state
from standins import virtual

ENTRY = membership.Kind.ENTRY
EXECUTOR = membership.Kind.EXECUTOR


def make_instance(name="one"):
    identity = state.Identity(name, f"{name}-1", "sefrou", "a:1")
    return instance.build(identity)


def find_executors(members):
    return [listing.instance_id for listing in members.find(EXECUTOR)]


@behave.given("two linked entry instances")
def step(context):
    context.world = virtual.make_world(1)
    for name in ("one", "two"):
        context.world.add_entry(name, "sefrou")
    context.world.run(10)
    context.one = context.world.nodes["one"].state
    context.two = context.world.nodes["two"].state
    assert "two" in context.one.peers


@behave.when("the second instance sends nothing for {silence:f} s")
def step(context, silence):
    context.world.kill("two")
    context.world.run(silence)


@behave.when("the second instance is removed and sends nothing for 62 s")
def step(context):
    context.world.kill("two")
    del context.world.listings["two"]
    context.world.run(62)


@behave.then("the first instance considers it {expected_state}")
def step(context, expected_state):
    now = context.world.now
    suspect = liveness.is_suspect("two", context.one, now)
    dead = liveness.is_dead("two", context.one, now)
    live = "two" in liveness.find_live_entries(context.one, now)
    expected = {
        "live": (False, False, True),
        # A suspect peer still counts as live, but gets no slot loans.
        "suspect": (True, False, True),
        "dead": (True, True, False),
    }
    assert (suspect, dead, live) == expected[expected_state], (
        suspect,
        dead,
        live,
    )


@behave.then("the first instance has no state for it")
def step(context):
    assert "two" not in context.one.peers
    assert "two" not in context.one.links.full_sent_at


def make_listing(name, incarnation, listed="live"):
    return membership.Listing(
        name,
        EXECUTOR,
        "sefrou",
        "a:1",
        membership.State(listed),
        incarnation,
        "rota",
    )


@behave.given('members that list "{name}" with incarnation "{incarnation}"')
def step(context, name, incarnation):
    context.one = make_instance()
    event = membership.InstancesListed((make_listing(name, incarnation),))
    instance.handle(event, context.one, 1.0)


@behave.when(
    '"{name}" is marked as leaving and listed as {listed} with "{incarnation}"'
)
def step(context, name, listed, incarnation):
    context.one.members.mark_leaving(name)
    listing = make_listing(name, incarnation, listed)
    instance.handle(membership.InstancesListed((listing,)), context.one, 2.0)


@behave.then('"{name}" is {found} among the executors')
def step(context, name, found):
    names = find_executors(context.one.members)
    assert (name in names) == (found == "found"), names


@behave.when("the platform's list is {answer}")
def step(context, answer):
    event = {
        "empty": membership.InstancesListed(()),
        "unreadable": membership.InstancesUnread(),
        "unchanged": membership.InstancesUnchanged(),
    }[answer]
    effects = instance.handle(event, context.one, 2.0)
    refusal = messages.CountRefusal("membership", "list_empty")
    assert (refusal in effects) == (answer == "empty")
    assert any(isinstance(e, messages.StartTimer) for e in effects)


@behave.given("6 connected entry instances with one leaving record each")
def step(context):
    context.world = control.build(6, control.DATA_CENTRES[:1], 1)
    for name, node in context.world.nodes.items():
        node.state.members.mark_leaving(f"gone-{name}")
    context.world.run(5)


def count_records(world):
    return [len(node.state.members.leaving) for node in world.nodes.values()]


@behave.then("every instance has {count:d} leaving records")
def step(context, count):
    assert count_records(context.world) == [count] * 6


@behave.then("after {seconds:d} s no instance has a leaving record")
def step(context, seconds):
    context.world.run(seconds)
    assert count_records(context.world) == [0] * 6


@behave.then("{count:d} further leaving records leave at most {most:d}")
def step(context, count, most):
    members = next(iter(context.world.nodes.values())).state.members
    for number in range(count):
        members.record_leaving(f"x{number}", "")
    assert len(members.leaving) <= most
    assert (f"x{count - 1}", "") in members.leaving


@behave.when(
    "the second instance restarts and an older leaving heartbeat arrives"
)
def step(context):
    old = heartbeats.make_heartbeat(context.two, context.world.now)
    late = attrs.evolve(old, state=membership.State.LEAVING)
    context.world.kill("two")
    context.world.start_entry("two")
    context.world.run(1)
    context.effects = receive(context, late)


@behave.then('the late heartbeat was counted as "{code}"')
def step(context, code):
    expected = [messages.CountRefusal("membership", code)]
    assert context.effects == expected, context.effects


def receive(context, message, sender="two"):
    event = peer_messages.PeerReceived(sender, message)
    return instance.handle(event, context.one, context.world.now)


@behave.when(
    "a live heartbeat of the second instance arrives after its leaving one"
)
def step(context):
    live = heartbeats.make_heartbeat(context.two, context.world.now)
    receive(context, attrs.evolve(live, state=membership.State.LEAVING))
    receive(context, live)


@behave.then("the first instance does not list it as live")
def step(context):
    live = liveness.find_live_entries(context.one, context.world.now)
    assert live == ["one"], live


@behave.when(
    "a short heartbeat with a wrong tag arrives from the second instance"
)
def step(context):
    context.last_heartbeat_at = context.one.peers["two"].last_heartbeat_at
    context.effects = receive(context, peer_messages.Beat(0, 9))


@behave.then("the first instance requests a full heartbeat and changes nothing")
def step(context):
    request = peer_messages.HeartbeatRequested()
    assert context.effects == [peer_messages.SendPeer("two", request)]
    peer = context.one.peers["two"]
    assert peer.last_heartbeat_at == context.last_heartbeat_at
    assert peer.configuration_version == 0


@behave.when("a {message} in the name of another sender arrives")
def step(context, message):
    context.before = attrs.asdict(context.one.peers["two"])
    body = heartbeats.make_heartbeat(context.one, context.world.now)
    if message == "roster":
        body = peer_messages.Roster("houston", 1, 7)
    context.effects = receive(context, body)


@behave.then('it is counted as "{code}" and no peer changes')
def step(context, code):
    expected = [messages.CountRefusal("membership", code)]
    assert context.effects == expected, context.effects
    assert attrs.asdict(context.one.peers["two"]) == context.before
    assert list(context.one.peers) == ["two"]
    assert not context.one.links.rosters


@behave.given("data centres with {sizes} entry instances")
def step(context, sizes):
    listings = tuple(
        membership.Listing(f"d{place}-{number:02}", ENTRY, f"d{place}", "a:1")
        for place, size in enumerate(sizes.split())
        for number in range(int(size))
    )
    context.centres = {e.instance_id: e.data_centre for e in listings}
    context.chosen = {}
    for listing in listings:
        one = instance.build(
            state.Identity(listing.instance_id, "i", listing.data_centre, "a:1")
        )
        one.members.replace_listings(listings)
        context.chosen[listing.instance_id] = links.choose_links(one, 1.0)


@behave.then("each pair in a data centre is linked")
def step(context):
    for own, chosen in context.chosen.items():
        near = {
            n
            for n, centre in context.centres.items()
            if centre == context.centres[own] and n != own
        }
        assert near <= set(chosen), (own, chosen)


@behave.then("each instance has links to and from every other data centre")
def step(context):
    reached = collections.defaultdict(set)
    heard = collections.defaultdict(set)
    for own, chosen in context.chosen.items():
        for other in chosen:
            reached[own].add(context.centres[other])
            heard[other].add(context.centres[own])
    for own, centre in context.centres.items():
        others = set(context.centres.values()) - {centre}
        assert others <= reached[own], (own, reached[own])
        assert others <= heard[own], (own, heard[own])


@behave.then("no instance has more than {most:d} links")
def step(context, most):
    counts = [len(chosen) for chosen in context.chosen.values()]
    assert max(counts) <= most, max(counts)


@behave.when("162 entry instances in 6 data centres run for 10 s")
def step(context):
    context.traffic = control.measure_links(
        162, control.REGION_DATA_CENTRES, 10.0
    )


@behave.then(
    "no instance sends more than {limit:d} bytes of peer frames a second"
)
def step(context, limit):
    assert 0 < context.traffic.most_bytes <= limit, context.traffic
