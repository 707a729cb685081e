"""Steps for quotas.feature."""

import behave

from sapphirestall_core import policy
from sapphirestall_core import quotas
from sapphirestall_core import resources


@behave.given(
    "a team quota of {count:d} processors of which this owner enforces"
    " {share:f}"
)
def step(context, count, share):
    context.teams = {"press": policy.Team(cpu_millis=count * 1000)}
    context.quotas = quotas.Quotas()
    context.share = share


@behave.when("the team asks for {count:d} processors until it is refused")
def step(context, count):
    amount = resources.Vector(count * 1000)
    for _ in range(100):
        if not context.quotas.allows(
            "press", amount, context.teams, context.share
        ):
            return
        context.quotas.add("press", amount)
    raise AssertionError("never refused")


@behave.then("it holds {count:d} processors")
def step(context, count):
    held = context.quotas.held["press"].cpu_millis
    assert held == count * 1000, held
    context.quotas.remove("press", resources.Vector(held))
    assert context.quotas.held["press"] == resources.Vector()
