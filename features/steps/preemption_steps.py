"""Steps for preemption.feature."""

import behave

from sapphirestall_core import capacity_claims
from sapphirestall_core import interference
from sapphirestall_core import placement
from sapphirestall_core import policy
from sapphirestall_core import preemption
from sapphirestall_core import resources
from sapphirestall_core import task_messages
from sapphirestall_core import views

NOW = 1000.0
URGENT = 7


@behave.given("a full worker with the running batch tasks")
def step(context):
    total = sum(int(row["cores"]) for row in context.table) * 1000
    ledger = resources.Ledger(resources.Vector(total, 1000))
    context.view = views.WorkerView("worker-1", ledger)
    context.preemptible_cpu = 10**9
    for row in context.table:
        reserved = resources.Vector(int(row["cores"]) * 1000)
        started_at = NOW - float(row["run_s"])
        name = task_messages.AttemptName("job", int(row["task"]), 1)
        ledger.record(name, reserved)
        task = views.RunningTask(
            name,
            "compute",
            "press",
            int(row["urgency"]),
            reserved,
            reserved.cpu_millis / 1000,
            reserved.cpu_millis / 1000,
            started_at,
            started_at,
            row["checkpoint"] == "yes",
        )
        context.view.add(task)


@behave.when("non-urgent work may lose only {cores:d} processors")
def step(context, cores):
    context.preemptible_cpu = cores * 1000


@behave.then("urgent work of {cores:d} processors evicts {victims}")
def step(context, cores, victims):
    amount = resources.Vector(cores * 1000)
    demand = placement.Demand("rota", "press", URGENT, amount, cores)
    inputs = placement.Inputs(interference.Estimator(), policy.Policy())
    plan = preemption.find_plan(
        demand, [context.view], inputs, context.preemptible_cpu, NOW
    )
    found = sorted(name.task for name in plan.victims) if plan else []
    wanted = [] if victims == "nothing" else [int(v) for v in victims.split()]
    assert found == wanted, found


@behave.when("{cores:d} processors are claimed for an urgent task")
def step(context, cores):
    expires_at = NOW + capacity_claims.CLAIM_TIMEOUT_S
    amount = resources.Vector(cores * 1000)
    context.claims = [
        capacity_claims.CapacityClaim("worker-1", URGENT, amount, expires_at)
    ]


@behave.then(
    "{cores:d} processors are withheld from urgency {urgency:d} until {term:d}"
    " s have passed"
)
def step(context, cores, urgency, term):
    for passed, expected in ((term - 0.1, cores * 1000), (term, 0)):
        found = capacity_claims.sum_claims(
            context.claims, urgency, NOW + passed
        )
        assert found.cpu_millis == expected, found


@behave.then("nothing is withheld from urgency {urgency:d}")
def step(context, urgency):
    found = capacity_claims.sum_claims(context.claims, urgency, NOW)
    assert found == resources.Vector()
