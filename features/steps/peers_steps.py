"""Steps for peers.feature."""

import asyncio
import enum
import random
import types
import typing

import attrs
import behave
import cbor2

from sapphirestall_core import errors
from sapphirestall_core import peer_messages
from sapphirestall_entry import codec
from sapphirestall_entry import counters
from sapphirestall_entry import peers
from sapphirestall_entry import servers

TYPES = sorted(
    peer_messages.PeerMessage.__subclasses__(), key=lambda kind: kind.__name__
)


def draw_value(kind, rng):
    """Returns a random value of a field type."""
    origin, inner = typing.get_origin(kind), typing.get_args(kind)
    if attrs.has(kind):
        fields = attrs.fields(attrs.resolve_types(kind))
        return kind(**{f.name: draw_value(f.type, rng) for f in fields})
    if origin is types.UnionType:
        return draw_value(rng.choice(inner), rng)
    if origin is tuple and inner[1:] != (...,):
        return tuple(draw_value(part, rng) for part in inner)
    if origin in (list, tuple):
        return origin(
            draw_value(inner[0], rng) for _ in range(rng.randint(0, 3))
        )
    if origin is dict:
        return {
            draw_value(inner[0], rng): draw_value(inner[1], rng)
            for _ in range(rng.randint(0, 3))
        }
    if isinstance(kind, enum.EnumMeta):
        return rng.choice(list(kind))
    return {
        bool: rng.random() < 0.5,
        float: rng.random() * 1e6,
        int: rng.randint(1, 100_000),
        object: rng.choice([None, "x", 7, 2.5, True]),
        str: "".join(rng.choices("abcxyz-0é", k=rng.randint(1, 12))),
        types.NoneType: None,
    }[kind]


def draw_messages(seed):
    """Returns one message of each type with random fields."""
    rng = random.Random(seed)
    return [draw_value(kind, rng) for kind in TYPES]


@behave.when(
    "a peer message of each type with seed {seed:d} is encoded and decoded"
)
def step(context, seed):
    context.sent = draw_messages(seed)
    context.received = [
        codec.decode(codec.encode(m), "two") for m in context.sent
    ]


@behave.then("each is equal to the one sent")
def step(context):
    assert len(context.sent) == len(TYPES) > 5
    for sent, received in zip(context.sent, context.received, strict=True):
        assert sent == received, (sent, received)


BEAT = {"type": "Beat", "tag": 1, "version": 2}
HEARTBEAT = {
    "type": "Heartbeat",
    "instance_id": "two",
    "incarnation": "i",
    "data_centre": "sefrou",
    "state": "live",
    "configuration_version": 0,
}


def make_frame(name):
    if name == "empty":
        return b""
    if name == "random bytes":
        return random.Random(1).randbytes(64)
    if name == "deep nesting":
        return b"\x81" * 100_000 + b"\x01"
    if name == "trailing bytes":
        return cbor2.dumps(BEAT) + b"\x01"
    tree = {
        "text instead of a map": "Beat",
        "a list": [BEAT],
        "no type": {"tag": 1, "version": 2},
        "an unknown type": BEAT | {"type": "Drum"},
        "a type that is a list": BEAT | {"type": ["Beat"]},
        "a missing field": {"type": "Beat", "tag": 1},
        "an unknown field": BEAT | {"colour": 1},
        "text for a number": BEAT | {"version": "2"},
        "a wrong state": HEARTBEAT | {"state": "asleep"},
        "a number as a record": HEARTBEAT | {"leaving": [7]},
        "text for a list": HEARTBEAT | {"leaving": "ab"},
    }[name]
    return cbor2.dumps(tree)


def decode(frame):
    try:
        return codec.decode(frame, "two")
    except errors.InvalidMessageError as error:
        return error


@behave.when("the frame {name} is decoded")
def step(context, name):
    assert isinstance(decode(cbor2.dumps(BEAT)), peer_messages.Beat)
    assert isinstance(decode(cbor2.dumps(HEARTBEAT)), peer_messages.Heartbeat)
    context.decoded = [decode(make_frame(name))]


@behave.when("every truncation of a frame of each type is decoded")
def step(context):
    frames = [codec.encode(message) for message in draw_messages(3)]
    context.decoded = [
        decode(frame[:end]) for frame in frames for end in range(len(frame))
    ]


@behave.then('it is refused as "{code}" naming the peer')
@behave.then('every truncation is refused as "{code}"')
def step(context, code):
    assert context.decoded
    for error in context.decoded:
        assert isinstance(error, errors.InvalidMessageError), error
        assert (error.code, error.peer) == (code, "two"), error


@behave.when("{count:d} frames with random damage, seed {seed:d}, are decoded")
def step(context, count, seed):
    rng = random.Random(seed)
    frames = [codec.encode(message) for message in draw_messages(seed)]
    context.decoded = []
    for _ in range(count):
        frame = bytearray(rng.choice(frames))
        for _ in range(rng.randint(1, 4)):
            frame[rng.randrange(len(frame))] = rng.randrange(256)
        context.decoded.append(decode(bytes(frame)))


@behave.then("each is refused or a peer message")
def step(context):
    allowed = (errors.InvalidMessageError, peer_messages.PeerMessage)
    wrong = [d for d in context.decoded if not isinstance(d, allowed)]
    assert not wrong, wrong[:3]
    refused = [d for d in context.decoded if isinstance(d, Exception)]
    assert len(refused) > len(context.decoded) / 4


@attrs.define
class Shell:
    """Substitutes the context of the adapter and records its events."""

    identity: object
    counters: object = attrs.field(factory=counters.Counters)
    events: list = attrs.field(factory=list)
    tasks: set = attrs.field(factory=set)

    def feed(self, event):
        """Records an event."""
        if isinstance(event, peer_messages.PeerReceived):
            self.events.append((event.peer_id, event.message))

    def spawn(self, work):
        """Runs a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        return task

    def count(self, code):
        """Returns the number of refusals with a code."""
        try:
            return self.counters.refusals.get({"part": "peers", "code": code})
        except KeyError:
            return 0


@attrs.define
class Pair:
    """Two connected adapters and the observations of the test.

    Attributes:
        one: Adapter that knows the other one's address.
        two: Adapter that only accepts connections.
        observations: Observations by the step of the test.
    """

    one: peers.Peers
    two: peers.Peers
    observations: dict = attrs.field(factory=dict)


async def wait_until(check):
    async with asyncio.timeout(20):
        # The adapters have no event to wait for.
        while not check():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def make_adapter(name):
    return peers.Peers(Shell(types.SimpleNamespace(instance_id=name)))


async def run_pair():
    pair = Pair(make_adapter("one"), make_adapter("two"))
    one, two = pair.one.context, pair.two.context
    listener = servers.open_socket("127.0.0.1:0")
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    two.spawn(pair.two.serve(listener))
    pair.one.connect({"two": address})
    await wait_until(lambda: pair.one.links["two"].queue is not None)
    await wait_until(lambda: "one" in pair.two.incoming)
    beat = peer_messages.Beat(1, 2)
    pair.one.send(peer_messages.SendPeer("two", beat))
    pair.two.send(peer_messages.SendPeer("one", beat))
    await wait_until(lambda: one.events and two.events)
    pair.observations["exchange"] = (list(one.events), list(two.events))
    queue = pair.one.links["two"].queue
    queue.put_nowait(b"\xff\xff")
    queue.put_nowait("text")
    await wait_until(lambda: two.count("invalid_message") == 2)
    queue.put_nowait(bytes(peers.MAX_FRAME_BYTES + 1))
    await wait_until(lambda: two.count("frame_too_long") == 1)
    pair.observations["after damage"] = list(two.events)
    pair.two.send(peer_messages.SendPeer("three", beat))
    pair.observations["not linked"] = two.count("not_linked")
    await wait_until(lambda: pair.one.links["two"].queue not in (None, queue))
    pair.one.send(peer_messages.SendPeer("two", beat))
    await wait_until(lambda: len(two.events) == 2)
    pair.one.connect({})
    for task in one.tasks | two.tasks:
        task.cancel()
    await asyncio.gather(*one.tasks, *two.tasks, return_exceptions=True)
    return pair


@behave.given(
    "two linked peer adapters of which only the first knows the second"
)
def step(context):
    context.pair = asyncio.run(run_pair())


@behave.then("each can send to the other")
def step(context):
    beat = peer_messages.Beat(1, 2)
    expected = ([("two", beat)], [("one", beat)])
    assert context.pair.observations["exchange"] == expected, (
        context.pair.observations
    )


@behave.then(
    "a damaged, a text and an oversized frame are each counted and change "
    "nothing"
)
def step(context):
    assert len(context.pair.observations["after damage"]) == 1


@behave.then('a message to an unknown peer is counted as "{code}"')
def step(context, code):
    assert context.pair.observations["not linked"] == 1


@behave.then("the link works again afterwards")
def step(context):
    assert len(context.pair.two.context.events) == 2
