"""Steps for soak.feature."""

import functools
import subprocess
import sys

import behave

SEEDS = (1, 2)
SECONDS = 12
TIMEOUT_S = 150


@functools.cache
def run_soaks():
    # Soaks mostly wait, so they run at the same time, once for all scenarios.
    processes = {
        seed: subprocess.Popen(
            [
                *(sys.executable, "-m", "soak", "--size", "small"),
                *("--seed", str(seed), "--seconds", str(SECONDS)),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        for seed in SEEDS
    }
    outputs = {}
    for seed, process in processes.items():
        output, _ = process.communicate(timeout=TIMEOUT_S)
        outputs[seed] = (process.returncode, output)
    return outputs


@behave.when("the short soaks are run")
def step(context):
    context.outputs = run_soaks()


@behave.then("the soak with seed {seed:d} violated no guarantee")
def step(context, seed):
    code, output = context.outputs[seed]
    assert code == 0, output
