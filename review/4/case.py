"""A cancelled submission starts after its cancelling was acknowledged."""

import asyncio
from typing import Any

import deployment

JOB = "5c0e7a21d94b36f8"
STEPS = [
    {"count": 1, "cpu": 1000, "mem_mb": 500},
    {"count": 1, "cpu": 1000, "mem_mb": 500, "after": [0]},
]
FIRST_STEP_S = 8.0
SECOND_STEP_S = 20.0
# `platform_lost`, `late`: writes aren't answered and are done 1 to 6 s later.
LATE_S = 5.0
LATE_FOR_S = 4.5
CANCEL_S = 3.0
CONTACT_S = 3.0
WAIT_S = 30.0


def build(parties: deployment.Deployment) -> None:
    """Adds two entry processes and executors in three racks."""
    parties.add_instance("edge-1", "sefrou")
    parties.add_instance("edge-2", "sefrou")
    for number in range(6):
        rack = f"r{number // 2 * 2 + 1}"
        parties.add_worker(f"w{number}", "sefrou", ["a", rack])


async def play(parties: deployment.Deployment) -> list[str]:
    """Submits and cancels a job and watches what starts."""
    parties.durations[f"{JOB}.0"] = FIRST_STEP_S
    parties.durations[f"{JOB}.1"] = SECOND_STEP_S
    begun_at = parties.now()
    disturbed_until = [0.0]
    late_writes = [0]
    writes_before = parties.store.writes

    def delay(_name: str, body: dict[str, Any]) -> float | None:
        """Delays the writes of the submission, as lost answers do."""
        now = parties.now()
        puts = [put["key"] for put in body.get("puts", [])]
        if f"jobs/{JOB}" not in puts or now > begun_at + LATE_FOR_S:
            return None
        late_writes[0] += 1
        disturbed_until[0] = now + LATE_S
        parties.note("write_late", keys=",".join(puts), done_after_s=LATE_S)
        return LATE_S

    if deployment.TROUBLE:
        parties.store.fault = delay
    body = {"spec": "tally", "steps": STEPS}
    await parties.call("POST", "edge-1", JOB, body)
    writes = parties.store.writes - writes_before
    parties.note("writes", late=late_writes[0], all=writes)
    status, _ = await parties.call("DELETE", "edge-2", JOB)
    if status not in (200, 202, 204, 410):
        raise deployment.UnableError(f"DELETE is answered with {status}")
    acknowledged_at = parties.now()
    await asyncio.sleep(WAIT_S)
    await parties.call("GET", "edge-2", JOB)
    allowed_until = max(
        acknowledged_at + CANCEL_S, disturbed_until[0] + CONTACT_S
    )
    return [
        f"UNASKED: {event['task']} started at {event['t']} on "
        f"{event['worker']}; the cancelling was acknowledged with {status} at "
        f"{acknowledged_at}, the last late write was done at "
        f"{disturbed_until[0]}"
        for event in parties.find("start")
        if event["t"] > allowed_until
    ]


deployment.main(build, play)
