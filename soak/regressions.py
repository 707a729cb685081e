"""Regression cases: faults that led to a violation, each with its cause.

Faults are listed explicitly, because a seed generates other faults once the
generator changes. The option `--regressions` runs all cases.
"""

import attrs

from sapphirestall_standins import refusals
from soak import faults


@attrs.frozen
class Regression:
    """A soak that has failed.

    Attributes:
        seed: Seed of the jobs.
        size: Name of the size of the deployment.
        seconds: Duration of the fault phase, in seconds.
        faults: Faults to inject.
        found_by: Size and seed of the soaks that found the failure.
        cause: Cause of the failure.
    """

    seed: int
    size: str
    seconds: float
    faults: tuple[faults.Fault, ...]
    found_by: str
    cause: str


def _crash(worker: str, start_s: float) -> faults.Fault:
    return faults.WorkerCrashed(
        start_s=start_s,
        duration_s=1.0,
        worker=worker,
        crashes=4,
        uptime_s=1.2,
        downtime_fraction=0.2,
    )


REGRESSIONS = (
    Regression(
        100,
        "busy",
        20.0,
        (
            _crash("r2-1-w4", 2.0),
            _crash("r1-2-w1", 4.0),
            _crash("r1-1-w0", 9.0),
        ),
        "busy 100",
        "a start that a worker's later incarnation answered counted as refused",
    ),
    Regression(
        30,
        "small",
        12.0,
        (
            faults.RollingRestart(
                start_s=1.0,
                duration_s=2.0,
                instances=("dc0-e1", "dc0-e2", "dc1-e3", "dc1-e4"),
            ),
            faults.ProcessesTerminated(
                start_s=6.0, duration_s=1.0, instances=("dc0-e1", "dc1-e3")
            ),
        ),
        "small 30, usual 4, usual 12",
        "timers started calls after the process had closed its sessions",
    ),
    Regression(
        101,
        "busy",
        20.0,
        (
            faults.WorkersFaulty(
                start_s=2.0,
                duration_s=12.0,
                workers=tuple(
                    f"r1-{rack}-w{n}" for rack in (1, 2, 3) for n in range(6)
                ),
                late_start_fraction=0.5,
                lost_answer_fraction=0.0,
                failure_fraction=0.0,
                refusal=None,
            ),
        ),
        "busy 101",
        "jobs whose starts were unanswered were not counted as pending",
    ),
    Regression(
        502,
        "usual",
        12.0,
        (
            faults.DataCentreUnreachable(
                start_s=1.0, duration_s=10.0, data_centre="dc0"
            ),
        ),
        "usual 502, busy 606, busy 900",
        "open: jobs of a partition that for over 5 s has no owner that reaches "
        "the store, as when a data centre is unreachable, are not counted as "
        "pending",
    ),
    Regression(
        502,
        "usual",
        28.0,
        (
            faults.DataCentreUnreachable(
                start_s=1.0, duration_s=26.0, data_centre="dc0"
            ),
        ),
        "usual 502, on the code before other fixes",
        "an owner in another data centre took all runs of a data centre as "
        "ended after a time in which it had reached none of its workers",
    ),
    Regression(
        7002,
        "small",
        12.0,
        (
            faults.StoreSlow(start_s=1.34, duration_s=1.47, delay_s=0.05),
            faults.StoreUnavailable(
                start_s=4.82,
                duration_s=3.37,
                refusal=refusals.Refusal.BUSY,
                instances=("dc0-e1", "dc0-e2", "dc1-e3"),
                leases_paused=False,
            ),
            faults.DataCentreUnreachable(
                start_s=7.14, duration_s=4.86, data_centre="dc0"
            ),
            _crash("r2-1-w1", 10.0),
        ),
        "small 7002, in two of five runs",
        "open, suspected to be that of usual 502: a pending job is not counted "
        "while the data centre of its partition is unreachable",
    ),
)
