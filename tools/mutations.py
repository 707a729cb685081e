"""Disables one mechanism at a time and checks that a test fails.

Each mutation runs in a separate process, which patches a function or constant
and plays a trace, or runs a scenario, that passes without the mutation.
"""

from collections.abc import Callable
import contextlib
import io
import pathlib
import subprocess
import sys
from typing import Any

import attrs
from behave import __main__ as behave_main

from sapphirestall_core import attempts
from sapphirestall_core import claims
from sapphirestall_core import commands
from sapphirestall_core import configuration_sync
from sapphirestall_core import eviction
from sapphirestall_core import inventory
from sapphirestall_core import membership
from sapphirestall_core import ownership
from sapphirestall_core import requests_state
from standins import store_model
from standins import trace
from tools import batch_mutations

TRACES = pathlib.Path(__file__).parents[1] / "features" / "traces"
FAR_FUTURE_S = 1e9
TIMEOUT_S = 120


@attrs.frozen
class Mutation:
    """A mechanism to disable and the test that must then fail.

    Attributes:
        name: Name of the mechanism.
        test: Trace that must fail, or `FILE.feature: SCENARIO`.
        apply: Disables the mechanism in this process.
    """

    name: str
    test: str
    apply: Callable[[], None]


def _ignore_command_expiry() -> None:
    make_fence = commands.make_fence

    def mutated(*arguments: Any) -> Any:
        return {**make_fence(*arguments), "expires_at": FAR_FUTURE_S}

    commands.make_fence = mutated


def _skip_authority_check() -> None:
    def mutated(partition: Any, *_: Any) -> ownership.Authority:
        owned = partition.epoch and not partition.handing_over
        return ownership.Authority.LEASE if owned else ownership.Authority.NONE

    ownership.find_authority = mutated


def _skip_inventory_wait() -> None:
    def mutated(partition: Any, now: float) -> None:
        if not partition.former_attempts_ended and partition.jobs_listed:
            partition.former_attempts_ended = True
            for share in partition.shares.values():
                attempts.enqueue(partition, share)

    inventory.check_former_attempts = mutated


def _skip_takeover_wait() -> None:
    ownership.TAKEOVER_WAIT_S = 0.0


def _shorten_unresponsive_worker_wait() -> None:
    ownership.UNRESPONSIVE_WORKER_WAIT_S = 5.0


def _ignore_attempt_numbers() -> None:
    def mutated(name: Any, partition: Any) -> Any:
        return partition.attempts.get(attempts.make_task_name(name))

    eviction.find_current = mutated


def _adopt_any_version() -> None:
    adopt_document = configuration_sync.adopt_document

    def mutated(document: Any, instance: Any, *rest: Any) -> Any:
        held = instance.configuration
        held.document = attrs.evolve(held.document, version=-1)
        return adopt_document(document, instance, *rest)

    configuration_sync.adopt_document = mutated


def _ignore_leaving() -> None:
    membership.Members.is_leaving = lambda *_: False


def _ignore_commit_version() -> None:
    # The core states the expected version; the stand-in only compares it.
    put = store_model.Store.put

    def mutated(
        self: Any, key: str, value: Any, expected: int, *rest: Any
    ) -> Any:
        if key.startswith("progress/") and key in self.items:
            expected = self.items[key].version
        return put(self, key, value, expected, *rest)

    store_model.Store.put = mutated


def _claim_by_request_id() -> None:
    claims.make_scope = lambda event: event.request_id


def _assume_no_attempt_ran() -> None:
    requests_state.Request.may_have_run = property(
        lambda _: False, lambda *_: None
    )


MUTATIONS = (
    Mutation(
        "claim skipped",
        "requests/same_key_other_instance",
        _claim_by_request_id,
    ),
    Mutation(
        "proof of every attempt",
        "requests/executor_dies_while_running",
        _assume_no_attempt_ran,
    ),
    Mutation(
        "command expiry", "tasks/start_command_expired", _ignore_command_expiry
    ),
    Mutation(
        "authority check", "tasks/old_owner_keeps_worker", _skip_authority_check
    ),
    Mutation("inventory wait", "tasks/owner_killed", _skip_inventory_wait),
    Mutation(
        "takeover wait",
        "tasks/takeover_with_silent_worker",
        _skip_takeover_wait,
    ),
    Mutation(
        "wait for a silent worker",
        "tasks/owner_cut_from_worker",
        _shorten_unresponsive_worker_wait,
    ),
    Mutation(
        "attempt match",
        "eviction.feature: A late acknowledgement of an earlier stop",
        _ignore_attempt_numbers,
    ),
    Mutation(
        "configuration version guard",
        "configuration/documents_delayed",
        _adopt_any_version,
    ),
    Mutation("leaving mark", "membership/leaving_executor", _ignore_leaving),
    Mutation(
        "progress fencing", "tasks/commit_delayed", _ignore_commit_version
    ),
    *(Mutation(*row) for row in batch_mutations.ROWS),
)


def run_test(name: str, mutation: str = "") -> str:
    """Runs a test in a separate process; returns its first fault, if any."""
    command = [sys.executable, "-m", "tools.mutations", name, mutation]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )
    if done.returncode:
        return f"the process failed: {done.stderr[-300:]}"
    return done.stdout.strip()


def run_scenario(file: str, name: str) -> str:
    """Runs a scenario in this process; returns a message if it fails."""
    path = str(TRACES.parent / file)
    with contextlib.redirect_stdout(io.StringIO()):
        code = behave_main.main([path, "--name", name, "--no-summary"])
    return f"failed: {name}" if code else ""


def run_test_here(name: str, mutation: str) -> None:
    """Applies a mutation, runs a test here and prints its first fault."""
    for candidate in MUTATIONS:
        if candidate.name == mutation:
            candidate.apply()
    file, _, scenario = name.partition(": ")
    if scenario:
        print(run_scenario(file, scenario))
        return
    run = trace.play(trace.load(TRACES / f"{name}.yaml"))
    failures = trace.list_failures(run)
    print(failures[0].splitlines()[0][:100] if failures else "")


def main() -> int:
    """Prints a table; returns 0 if a test fails for every mutation."""
    if len(sys.argv) == 3:
        run_test_here(*sys.argv[1:])
        return 0
    missed = 0
    for mutation in MUTATIONS:
        before = run_test(mutation.test)
        after = run_test(mutation.test, mutation.name)
        noticed = bool(after) and not before
        missed += not noticed
        verdict = "failed as it should" if noticed else "NOT NOTICED"
        print(f"{mutation.name:28} {mutation.test:38} {verdict}")
        print(f"    unchanged: {before or 'holds'}\n    mutated: {after}")
    print(f"{len(MUTATIONS) - missed} of {len(MUTATIONS)} mutations noticed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
