"""Random damage to stored records, in virtual time.

An owner runs jobs; then some records in the store are replaced by what another
version or a bug may have written, and the owner is killed. The records that its
successor cannot use must cost only their own jobs.

    python -m standins.batch_record_fuzz --seeds 1-200
"""

import copy
import random
from typing import Any

from sapphirestall_core import resources
from sapphirestall_core import store_messages
from sapphirestall_core.batch import model
from sapphirestall_core.batch import records
from sapphirestall_entry import decoding
from sapphirestall_platform import store as store_module
from standins import batch_loop_world
from standins import seeds

DATA_CENTRE = "north"
AMOUNT = resources.Vector(1000, 100, 0)
# Records of the first job are damaged; the others must not be affected.
DAMAGED_JOB, LASTING_JOB, FINITE_JOB = (f"{n:016x}" for n in (1, 2, 3))
LATER_JOB = f"{4:016x}"
START_S = 3.0
TAKEOVER_S = 30.0
ODD_VALUES = (0, 1, -1, 7, 2**53 - 1, -(2**53) + 1, 0.5, -1e308, 1e308, "")
ODD_VALUES += ("x", "0.99", "\u00e9", True, None, [], {}, [7], {"x": 1}, "a/b")


def damage(value: Any, rng: random.Random) -> Any:
    """Returns a JSON value with one part changed, removed or repeated."""
    if isinstance(value, dict) and value and rng.random() < 0.9:
        name = rng.choice(sorted(value))
        if rng.random() < 0.15:
            return {k: v for k, v in value.items() if k != name}
        return {**value, name: damage(value[name], rng)}
    if isinstance(value, list) and value and rng.random() < 0.8:
        index = rng.randrange(len(value))
        if rng.random() < 0.3:
            return value[:index] + value[index + rng.choice((1, -1)) + 1 :]
        changed = copy.deepcopy(value)
        changed[index] = damage(value[index], rng)
        return changed
    return rng.choice(ODD_VALUES)


def damage_records(
    world: batch_loop_world.LoopWorld, rng: random.Random
) -> list[str]:
    """Damages up to three records; returns a description of each."""
    converter = store_module.make_converter()
    described = []
    for key in rng.sample(_list_damaged_keys(world), 3):
        item = world.store.items[key]
        document = type(item.value)
        plain = converter.unstructure(item.value)
        try:
            value = converter.structure(damage(plain, rng), document)
            store_messages.check_key(value, key)
        except decoding.DECODE_ERRORS:
            world.store.unreadable.add(key)
            described.append(f"{key}: unreadable")
            continue
        if value == item.value or _list_amounts(value) != _list_amounts(
            item.value
        ):
            # Nothing tells that the amounts of a step are wrong. A run that is
            # adopted with them may fill its worker.
            continue
        world.store.revision += 1
        world.store.put(store_messages.Put(key, value, item.lease_id))
        described.append(f"{key}: {value!r:.300}")
    return described


def _list_amounts(value: object) -> list[resources.Vector]:
    if not isinstance(value, records.JobRecord):
        return []
    return [step.amount for step in value.steps]


def _list_damaged_keys(world: batch_loop_world.LoopWorld) -> list[str]:
    # A roster that lies about the workers of former owners has no remedy.
    prefixes = (records.SUMMARIES_PREFIX, records.INTERFERENCE_KEY)
    return sorted(
        key
        for key in world.store.items
        if DAMAGED_JOB in key or key.startswith(prefixes)
    )


def play(seed: int) -> tuple[list[str], list[str]]:
    """Plays a seed; returns the damage and what went wrong."""
    rng = random.Random(seed)
    world = batch_loop_world.LoopWorld(seed, run_duration_s=(1.0, 4.0))
    for number in (1, 2):
        world.add_worker(f"w-{number}", DATA_CENTRE, 32_000)
    owner = world.add_node("e-1", DATA_CENTRE)
    world.run(START_S)
    steps = model.Step(6, AMOUNT), model.Step(2, AMOUNT, after=(0,))
    lasting = model.Step(2, AMOUNT, long_running=True)
    world.submit(owner, DAMAGED_JOB, *steps, lasting)
    world.submit(owner, LASTING_JOB, lasting)
    world.submit(owner, FINITE_JOB, *steps)
    world.run(rng.uniform(0.5, 4.0))
    described = damage_records(world, rng)
    if not described:
        return [], []
    world.kill(owner)
    successor = world.add_node("e-2", DATA_CENTRE)
    world.run(TAKEOVER_S)
    world.submit(successor, LATER_JOB, *steps)
    world.run(TAKEOVER_S)
    return described, _list_problems(world, described)


def _list_problems(
    world: batch_loop_world.LoopWorld, described: list[str]
) -> list[str]:
    # A job whose progress is lost must not run at all; of a job whose record
    # lies nothing is known.
    is_known = all(text.endswith(": unreadable") for text in described)
    problems = world.faults[:3]
    problems += [
        text for text in world.violations if is_known or DAMAGED_JOB not in text
    ]
    problems += [
        f"job {job_id} is {world.get_state(job_id)}"
        for job_id in (FINITE_JOB, LATER_JOB)
        if world.get_state(job_id) is not model.JobState.COMPLETED
    ]
    running = [task.job_id for _, task, _ in world.list_runs()]
    if running.count(LASTING_JOB) != 2:
        problems.append(f"{running.count(LASTING_JOB)} long-running tasks run")
    return problems


def describe(seed: int) -> str:
    """Plays a seed; returns what went wrong, with the damage."""
    described, problems = play(seed)
    return f"{problems} after {described}" if problems else ""


def main() -> None:
    """Plays seeds and prints what went wrong."""
    seeds.run(__doc__, "1-60", describe)


if __name__ == "__main__":
    main()
