"""Runs one seed: jobs under faults, a time without faults, and final checks."""

from __future__ import annotations

import asyncio
import pathlib
import random
import shutil
import signal
import time

import attrs

from sapphirestall_standins import caller_client
from soak import callers as callers_module
from soak import deployment as deployment_module
from soak import disturbances
from soak import faults as faults_module
from soak import guarantees
from soak import history as history_module
from soak import operator as operator_module

REPORTS = pathlib.Path(__file__).parents[1] / "report" / "soak"
READY_LIMIT_S = 30.0
# Mean time between the starts of faults.
FAULT_INTERVAL_S = 2.5
# Time after the fault phase for which callers still submit jobs.
SETTLE_S = 5.0
# Time after that in which all accepted jobs must end.
FINISH_LIMIT_S = 20.0
# Time after that in which all long-running tasks must run.
LONG_RUNNING_LIMIT_S = 8.0
# Text of the log line that a process writes for an unhandled exception.
EXCEPTION_MARK = "process: fault in"


@attrs.frozen
class Result:
    """Result of one seed.

    Attributes:
        seed: The seed.
        seconds: Duration of the fault phase, in seconds.
        violations: Violations of guarantees.
        counts: Numbers of jobs, starts and other events, by name.
        directory: Directory of the logs and the list of faults.
    """

    seed: int
    seconds: float
    violations: tuple[history_module.Violation, ...]
    counts: dict[str, int]
    directory: pathlib.Path


async def run(
    seed: int,
    seconds: float,
    size_name: str,
    fixed_faults: tuple[faults_module.Fault, ...] = (),
) -> Result:
    """Runs one seed and returns its result.

    Args:
        seed: Determines the jobs and the faults.
        seconds: Duration of the fault phase, in seconds.
        size_name: Name of the size of the deployment.
        fixed_faults: Faults to inject instead of those drawn from the seed.
    """
    directory = REPORTS / f"{size_name}-{seed}"
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    rng = random.Random(seed)
    deployment = deployment_module.build(
        deployment_module.SIZES[size_name], directory, rng
    )
    background: list[asyncio.Task[None]] = []
    main_task = asyncio.current_task()
    assert main_task is not None
    # After SIGTERM the processes of the deployment are ended as well.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, main_task.cancel
    )
    try:
        await deployment.start()
        for activity in (
            deployment.store.run(),
            deployment.run_heartbeats(),
            deployment.run_checks(),
        ):
            background.append(asyncio.create_task(activity))
        await _wait_ready(deployment)
        background.append(
            asyncio.create_task(deployment.load_balancer.run_checks())
        )
        if deployment.size.cpu_fraction < 1:
            throttling = faults_module.throttle_all(
                deployment, deployment.size.cpu_fraction
            )
            background.append(asyncio.create_task(throttling))
        await _run_phases(deployment, rng, seconds, fixed_faults)
        _check_logs(deployment)
    finally:
        for background_task in background:
            background_task.cancel()
        deployment.stop()
        await deployment.network.close()
    return _make_result(seed, seconds, deployment)


async def _wait_ready(deployment: deployment_module.Deployment) -> None:
    deadline = time.monotonic() + READY_LIMIT_S
    for name, instance in deployment.instances.items():
        while not instance.is_removed and not await caller_client.is_ready(
            instance.ready_address, callers_module.READINESS_TIMEOUT_S
        ):
            if time.monotonic() > deadline:
                deployment.history.report_violation(
                    "instances become ready", "", name
                )
                return
            await asyncio.sleep(0.1)


async def _run_phases(
    deployment: deployment_module.Deployment,
    rng: random.Random,
    seconds: float,
    fixed_faults: tuple[faults_module.Fault, ...],
) -> None:
    async with caller_client.open_session() as session:
        callers = [
            callers_module.Caller(
                rng.choice(deployment.data_centres),
                random.Random(rng.random()),
                caller_client.CallerClient(session),
                deployment.load_balancer,
                deployment.checker,
            )
            for _ in range(deployment.size.callers)
        ]
        operator = operator_module.Operator(
            deployment,
            random.Random(rng.random()),
            caller_client.CallerClient(session),
        )
        operating = [
            asyncio.create_task(operator.run()),
            asyncio.create_task(operator.probe()),
        ]
        running = [asyncio.create_task(caller.run()) for caller in callers]
        await _inject_all(
            deployment,
            fixed_faults or _draw_faults(deployment, rng, seconds),
            seconds,
        )
        await _wait_ready(deployment)
        await asyncio.sleep(SETTLE_S)
        for caller in callers:
            caller.closing = True
        _, unfinished = await asyncio.wait(running, timeout=FINISH_LIMIT_S)
        _check_jobs_ended(deployment)
        for task in unfinished:
            task.cancel()
        await _check_long_running(deployment, callers[0])
        for task in operating:
            task.cancel()
            if task.done():
                task.result()


def _draw_faults(
    deployment: deployment_module.Deployment, rng: random.Random, seconds: float
) -> tuple[faults_module.Fault, ...]:
    instances = {
        data_centre: tuple(
            name
            for name, instance in deployment.instances.items()
            if instance.data_centre == data_centre
        )
        for data_centre in deployment.data_centres
    }
    generator = faults_module.FaultGenerator(
        rng, instances, tuple(deployment.workers)
    )
    return tuple(generator.draw(seconds, FAULT_INTERVAL_S))


async def _inject_all(
    deployment: deployment_module.Deployment,
    faults: tuple[faults_module.Fault, ...],
    seconds: float,
) -> None:
    report = deployment.directory / "faults.txt"
    with report.open("w", encoding="utf-8") as lines:
        started_at = time.strftime("%H:%M:%S")
        lines.write(f"the soak started at {started_at}\n")
        lines.writelines(f"{fault}\n" for fault in faults)
    await asyncio.gather(
        asyncio.sleep(seconds),
        *(_inject_at_start(fault, deployment) for fault in faults),
    )


async def _inject_at_start(
    fault: faults_module.Fault, deployment: deployment_module.Deployment
) -> None:
    await asyncio.sleep(fault.start_s)
    await faults_module.inject(fault, deployment)


def _check_jobs_ended(deployment: deployment_module.Deployment) -> None:
    """Checks that callers were shown the end of every accepted job.

    Long-running jobs that were not cancelled are not checked.
    """
    for job_history in deployment.history.jobs.values():
        is_long_running = (
            job_history.job.is_long_running
            and job_history.cancel_sent_at is None
        )
        if (
            is_long_running
            or job_history.shown_state in guarantees.FINAL_STATES
        ):
            continue
        if job_history.accepted_at is None:
            continue
        left = [
            name
            for name, task in job_history.tasks.items()
            if task.done_at is None
        ]
        text = f"shown as {job_history.shown_state!r}, tasks not done: {left}"
        deployment.history.report_violation(
            "accepted jobs end", job_history.job.job_id, text
        )


async def _check_long_running(
    deployment: deployment_module.Deployment, caller: callers_module.Caller
) -> None:
    """Checks that long-running tasks run, and stop after a cancellation.

    Afterwards no task of any job may run.
    """
    long_running = [
        job_history
        for job_history in deployment.history.jobs.values()
        if job_history.job.is_long_running
        and job_history.accepted_at
        and not job_history.cancel_sent_at
    ]
    deadline = time.monotonic() + LONG_RUNNING_LIMIT_S
    waiting = long_running
    while waiting and time.monotonic() < deadline:
        await asyncio.sleep(0.2)
        waiting = [
            job_history
            for job_history in waiting
            if not _is_running(job_history)
        ]
    for job_history in waiting:
        deployment.history.report_violation(
            "long-running tasks run",
            job_history.job.job_id,
            "a task has no run",
        )
    # A submission without a definite answer may have been stored, and its job
    # then runs until somebody cancels it.
    undecided = [
        job_history
        for job_history in deployment.history.jobs.values()
        if job_history.job.is_long_running
        and job_history.accepted_at is None
        and job_history.open_attempts
        and not job_history.cancel_sent_at
    ]
    await asyncio.gather(
        *(
            caller.cancel(job_history)
            for job_history in (*long_running, *undecided)
        )
    )
    await asyncio.sleep(
        guarantees.CANCEL_LIMIT_S
        + guarantees.STOP_LIMIT_S
        + disturbances.RECOVERY_S
    )
    for job_history in deployment.history.jobs.values():
        runs = [task for task in job_history.tasks.values() if task.runs]
        if runs:
            text = f"{len(runs)} tasks run after the end of the job"
            deployment.history.report_violation(
                "tasks of ended jobs stop", job_history.job.job_id, text
            )


def _is_running(job_history: history_module.JobHistory) -> bool:
    return all(task.runs for task in job_history.tasks.values())


def _check_logs(deployment: deployment_module.Deployment) -> None:
    for name, instance in deployment.instances.items():
        text = instance.log.read_text(encoding="utf-8", errors="replace")
        if EXCEPTION_MARK in text:
            place = text.index(EXCEPTION_MARK)
            lines = text[place : place + 600]
            deployment.history.report_violation(
                "no unhandled exceptions", "", f"{name} {lines}"
            )


def _make_result(
    seed: int, seconds: float, deployment: deployment_module.Deployment
) -> Result:
    history = deployment.history
    jobs = list(history.jobs.values())
    counts = {
        "jobs": len(jobs),
        "accepted": sum(
            job_history.accepted_at is not None for job_history in jobs
        ),
        "completed": sum(
            job_history.shown_state == "completed" for job_history in jobs
        ),
        "failed": sum(
            job_history.shown_state == "failed" for job_history in jobs
        ),
        "cancelled": sum(
            job_history.cancelled_at is not None for job_history in jobs
        ),
        "refusals": sum(job_history.refusals for job_history in jobs),
        "starts": history.starts,
        "instances": len(deployment.instances),
        "own_lateness_ms": round(deployment.max_lateness_s * 1000),
    }
    violations = tuple(history.violations)
    return Result(seed, seconds, violations, counts, deployment.directory)
