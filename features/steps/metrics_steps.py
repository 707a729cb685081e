"""Steps for metrics.feature."""

import asyncio
import logging
import pathlib
import re

import behave

from sapphirestall_core import dispatch
from sapphirestall_core import membership
from sapphirestall_core import messages
from sapphirestall_entry import composition
from sapphirestall_entry import counters
from sapphirestall_entry import logs
from sapphirestall_entry import settings
from standins import asgi

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "metrics.md"


class BrokenEvent(messages.Event):
    """An event whose handler raises."""


def build_shell():
    return composition.build(
        settings.Settings(
            instance_id="entry-1",
            data_centre="sefrou",
            callers_listen="127.0.0.1:8001",
            operators_listen="127.0.0.1:8002",
            peers_listen="127.0.0.1:8003",
            store_address="127.0.0.1:8004",
        ),
        None,
        None,
    )


@behave.when(
    "the metrics of a process are rendered after one of each was observed"
)
def step(context):
    shell = build_shell()
    process_counters = shell.counters
    process_counters.count_refusal("part", "code")
    process_counters.count_retry("part", "code")
    process_counters.count_fault("place")
    process_counters.observe_request(200, 99.0)
    process_counters.observe_event("Event", 0.0002)
    process_counters.observe_lateness(0.02)
    process_counters.observe_worker_call("StartRun", "answered", 0.002)
    process_counters.count_connection()
    process_counters.observe_connection_wait(0.002)
    process_counters.observe_polls_in_flight(1)
    app = shell.operators.build_app()
    reply = asyncio.run(asgi.call(app, "GET", "/metrics"))
    assert reply.status == 200
    context.rendered = reply.body.decode()


@behave.then("their names and types are those of the page of metrics")
def step(context):
    rendered = dict(re.findall(r"# TYPE (\S+) (\S+)", context.rendered))
    page = PAGE.read_text(encoding="utf-8")
    documented = dict(re.findall(r"\| `(sapphirestall_\w+)` \| (\w+) \|", page))
    assert rendered == documented, (rendered, documented)
    registered = counters.Counters().registry.collectors
    assert set(registered) == set(documented)
    # A value above the last finite bound must still be counted.
    assert (
        'sapphirestall_request_seconds_count{status="200"} 1'
        in context.rendered
    )


@behave.given("a process whose handler of one event raises an exception")
def step(context):
    def fail(event, instance, now):
        raise ZeroDivisionError

    dispatch.handle.register(BrokenEvent, fail)
    context.shell = build_shell()
    logging.getLogger("process").disabled = True
    context.add_cleanup(
        setattr, logging.getLogger("process"), "disabled", False
    )


@behave.when("that event and then another one are passed to the loop")
def step(context):
    context.shell.feed(BrokenEvent())

    async def feed():
        context.shell.feed(membership.InstancesUnchanged())
        await asyncio.sleep(0)

    asyncio.run(feed())


@behave.then("the fault was counted under the event's name")
def step(context):
    assert context.shell.counters.faults.get({"place": "BrokenEvent"}) == 1


@behave.then("the other event was handled")
def step(context):
    observed = context.shell.counters.events.get(
        {"event": "InstancesUnchanged"}
    )
    assert observed["count"] == 1, observed


@behave.when("a background task of the process raises an exception")
def step(context):
    async def work():
        raise ZeroDivisionError

    async def run():
        context.shell.spawn(work())
        for _ in range(3):
            await asyncio.sleep(0)

    asyncio.run(run())


@behave.then('the fault was counted under "{place:w}"')
def step(context, place):
    assert context.shell.counters.faults.get({"place": place}) == 1
    assert not context.shell.background.tasks


@behave.when('a log line is written with the value "{value}"')
def step(context, value):
    records = []
    handler = logging.Handler()
    handler.emit = lambda record: records.append(record.getMessage())
    logger = logging.getLogger("part")
    logger.addHandler(handler)
    logger.setLevel("INFO")
    logs.write("part", "text", {"name": value.replace("\\n", "\n")})
    logger.removeHandler(handler)
    (context.line,) = records


@behave.then('the log line is "{line}"')
def step(context, line):
    assert context.line == line, context.line
