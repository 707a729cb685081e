"""Steps for replay.feature."""

import pathlib

import behave

from standins import trace

TRACES = pathlib.Path(__file__).parents[1] / "traces"


@behave.then('the trace "{name}" holds')
def step(context, name):
    run = trace.play(trace.load(TRACES / f"{name}.yaml"))
    failures = trace.list_failures(run)
    assert not failures, "\n".join(failures)


@behave.then("every trace is replayed by a scenario")
def step(context):
    text = pathlib.Path(context.feature.filename).read_text(encoding="utf-8")
    names = [
        path.relative_to(TRACES).with_suffix("").as_posix()
        for path in TRACES.glob("*/*.yaml")
    ]
    missing = [name for name in names if f'"{name}"' not in text]
    assert names and not missing, missing
