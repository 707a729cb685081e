"""Conditions that a step of a trace waits for."""

from standins import trace_run


def holds(condition: str, run: trace_run.Run) -> bool:
    """Returns whether a condition of the form `<kind> <subject>` holds.

    * `ran <request>`: An executor has started the request.
    * `answered <request>`: The caller has an answer.
    * `running <job>.<task>`: A worker runs the task.
    * `finished`, `stopped` or `failed <job>.<task>`: A worker lists an attempt
      of the task in this state.
    * `stored <prefix>`: The store has a key with this prefix.
    * `owned` or `unowned <partition>`: The store names an owner, or none.
    * `accepted <version>`: The configuration version was accepted.
    """
    kind, _, subject = condition.partition(" ")
    world = run.world
    match kind:
        case "ran":
            return run.monitor.count_runs(subject) > 0
        case "answered":
            return bool(world.answers.get(subject))
        case "running":
            return bool(run.find_holder(subject))
        case "finished" | "stopped" | "failed":
            return any(
                name.startswith(f"{subject}.") and task.state == kind
                for worker in world.workers.values()
                for name, task in worker.tasks.items()
            )
        case "stored":
            return bool(world.store.find(subject))
        case "accepted":
            return int(subject) in run.monitor.accepted_at
        case "owned":
            return bool(run.find_owner(subject))
        case "unowned":
            return not run.find_owner(subject)
    raise ValueError(f"unknown condition {condition!r}")
