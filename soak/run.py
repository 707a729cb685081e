"""Runs one seed: work and faults, then calm, then the final checks."""

from __future__ import annotations

import asyncio
import pathlib
import random
import shutil
import signal
import time

import attrs

from sapphirestall_standins import caller_client as wire
from soak import callers as callers_module
from soak import deployment as site_module
from soak import disturbances
from soak import faults as faults_module
from soak import guarantees as promises
from soak import history as ledger_module
from soak import operator as operator_module

REPORTS = pathlib.Path(__file__).parents[1] / "report" / "soak"
READY_S = 30.0
# Faults are this far apart on average.
INTERVAL_S = 2.5
# Callers go on for this long after the last fault.
CALM_S = 5.0
# Accepted jobs end within this time after the last one was handed in.
FINISH_S = 20.0
# Tasks that last run again within this time.
LASTING_S = 8.0
FAULT_MARK = "process: fault in"


@attrs.frozen
class Result:
    """What a run has shown."""

    seed: int
    seconds: float
    violations: tuple[ledger_module.Violation, ...]
    counts: dict[str, int]
    directory: pathlib.Path


async def run(
    seed: int,
    seconds: float,
    size_name: str,
    chosen: tuple[faults_module.Fault, ...] = (),
) -> Result:
    """Runs one seed and returns what was seen.

    Args:
        seed: Determines the work and the faults.
        seconds: Length of the faults.
        size_name: Name of a size of the deployment.
        chosen: Faults to play in place of those that the seed draws.
    """
    directory = REPORTS / f"{size_name}-{seed}"
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    rng = random.Random(seed)
    site = site_module.build(site_module.SIZES[size_name], directory, rng)
    background: list[asyncio.Task[None]] = []
    task = asyncio.current_task()
    assert task is not None
    # Whoever ends this program ends the processes that it started with it.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        await site.start()
        for loop in (site.store.run(), site.beat_all(), site.watch()):
            background.append(asyncio.create_task(loop))
        await _wait_ready(site)
        background.append(asyncio.create_task(site.entrance.watch()))
        if site.size.cpu_share < 1:
            share = faults_module.hold_share(site, site.size.cpu_share)
            background.append(asyncio.create_task(share))
        await _play(site, rng, seconds, chosen)
        _check_logs(site)
    finally:
        for work in background:
            work.cancel()
        site.stop()
        await site.network.close()
    return _make_result(seed, seconds, site)


async def _wait_ready(site: site_module.Site) -> None:
    until = time.monotonic() + READY_S
    for name, instance in site.instances.items():
        while not instance.gone and not await wire.is_ready(
            instance.ready_address, callers_module.READY_TIMEOUT_S
        ):
            if time.monotonic() > until:
                site.ledger.break_promise("instances get ready", "", name)
                return
            await asyncio.sleep(0.1)


async def _play(
    site: site_module.Site,
    rng: random.Random,
    seconds: float,
    chosen: tuple[faults_module.Fault, ...],
) -> None:
    async with wire.open_session() as session:
        people = [
            callers_module.Caller(
                rng.choice(site.data_centres),
                random.Random(rng.random()),
                wire.Caller(session),
                site.entrance,
                site.promises,
            )
            for _ in range(site.size.callers)
        ]
        operator = operator_module.Operator(
            site, random.Random(rng.random()), wire.Caller(session)
        )
        operating = [
            asyncio.create_task(operator.run()),
            asyncio.create_task(operator.probe()),
        ]
        running = [asyncio.create_task(person.run()) for person in people]
        await _disturb(site, chosen or _draw(site, rng, seconds), seconds)
        await _wait_ready(site)
        await asyncio.sleep(CALM_S)
        for person in people:
            person.closing = True
        _, late = await asyncio.wait(running, timeout=FINISH_S)
        _check_ends(site)
        for task in late:
            task.cancel()
        await _end_lasting(site, people[0])
        for task in operating:
            task.cancel()
            if task.done():
                task.result()


def _draw(
    site: site_module.Site, rng: random.Random, seconds: float
) -> tuple[faults_module.Fault, ...]:
    instances = {
        centre: tuple(
            name
            for name, instance in site.instances.items()
            if instance.data_centre == centre
        )
        for centre in site.data_centres
    }
    plan = faults_module.Plan(rng, instances, tuple(site.workers))
    return tuple(plan.draw(seconds, INTERVAL_S))


async def _disturb(
    site: site_module.Site,
    chosen: tuple[faults_module.Fault, ...],
    seconds: float,
) -> None:
    report = site.directory / "faults.txt"
    with report.open("w", encoding="utf-8") as lines:
        started_at = time.strftime("%H:%M:%S")
        lines.write(f"the run begins at {started_at}\n")
        lines.writelines(f"{fault}\n" for fault in chosen)
    await asyncio.gather(
        asyncio.sleep(seconds), *(_begin(fault, site) for fault in chosen)
    )


async def _begin(fault: faults_module.Fault, site: site_module.Site) -> None:
    await asyncio.sleep(fault.at_s)
    await faults_module.inject(fault, site)


def _check_ends(site: site_module.Site) -> None:
    """Checks that every accepted job was shown as ended."""
    for facts in site.ledger.jobs.values():
        lasts = facts.job.lasts and facts.cancel_sent_at is None
        if lasts or facts.shown in promises.FINAL:
            continue
        if facts.accepted_at is None:
            continue
        left = [
            name for name, task in facts.tasks.items() if task.done_at is None
        ]
        text = f"shown as {facts.shown!r}, tasks not done: {left}"
        site.ledger.break_promise("accepted work ends", facts.job.job_id, text)


async def _end_lasting(
    site: site_module.Site, person: callers_module.Caller
) -> None:
    """Checks that tasks that last run, cancels them, and sees them stop."""
    lasting = [
        facts
        for facts in site.ledger.jobs.values()
        if facts.job.lasts and facts.accepted_at and not facts.cancel_sent_at
    ]
    until = time.monotonic() + LASTING_S
    waiting = lasting
    while waiting and time.monotonic() < until:
        await asyncio.sleep(0.2)
        waiting = [facts for facts in waiting if not _runs(facts)]
    for facts in waiting:
        site.ledger.break_promise(
            "lasting work runs", facts.job.job_id, "a task has no run"
        )
    await asyncio.gather(*(person.cancel(facts) for facts in lasting))
    await asyncio.sleep(
        promises.CANCEL_S + promises.STOP_S + disturbances.CONTACT_S
    )
    for facts in site.ledger.jobs.values():
        runs = [task for task in facts.tasks.values() if task.runs]
        if runs:
            text = f"{len(runs)} tasks run after the end of the job"
            site.ledger.break_promise(
                "ended work stops", facts.job.job_id, text
            )


def _runs(facts: ledger_module.JobFacts) -> bool:
    return all(task.runs for task in facts.tasks.values())


def _check_logs(site: site_module.Site) -> None:
    for name, instance in site.instances.items():
        text = instance.log.read_text(encoding="utf-8", errors="replace")
        if FAULT_MARK in text:
            place = text.index(FAULT_MARK)
            lines = text[place : place + 600]
            site.ledger.break_promise(
                "no faults in code", "", f"{name} {lines}"
            )


def _make_result(seed: int, seconds: float, site: site_module.Site) -> Result:
    book = site.ledger
    jobs = list(book.jobs.values())
    counts = {
        "jobs": len(jobs),
        "accepted": sum(facts.accepted_at is not None for facts in jobs),
        "completed": sum(facts.shown == "completed" for facts in jobs),
        "failed": sum(facts.shown == "failed" for facts in jobs),
        "cancelled": sum(facts.cancelled_at is not None for facts in jobs),
        "refusals": sum(facts.refused for facts in jobs),
        "starts": book.starts,
        "instances": len(site.instances),
        "own_lateness_ms": round(site.late_s * 1000),
    }
    violations = tuple(book.violations)
    return Result(seed, seconds, violations, counts, site.directory)
