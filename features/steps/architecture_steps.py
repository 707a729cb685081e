"""Steps for architecture.feature."""

import ast
import importlib
import pathlib

import behave

ROOT = pathlib.Path(__file__).parents[2]


def list_imports(path):
    """Yields the imports of a file.

    Yields:
        Pairs of a module and a name imported from it; the name is None if the
        module itself is imported.
    """
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name, None
        elif isinstance(node, ast.ImportFrom):
            for alias in node.names:
                yield node.module, alias.name


@behave.when("the imports of the core are read")
def step(context):
    files = list(ROOT.glob("packages/core/src/**/*.py"))
    assert files
    context.imports = [
        (path.name, module)
        for path in files
        for module, _ in list_imports(path)
    ]


@behave.then("the core imports only attrs, cattrs, its own modules and")
def step(context):
    allowed = {"attrs", "cattrs", "sapphirestall_core", *context.text.split()}
    wrong = [
        pair
        for pair in context.imports
        if pair[1] not in allowed
        and not pair[1].startswith("sapphirestall_core.")
    ]
    assert not wrong, wrong


@behave.when("the imports of all packages are read")
def step(context):
    files = [
        *ROOT.glob("packages/*/src/**/*.py"),
        *ROOT.glob("platform/src/**/*.py"),
    ]
    context.imports = [
        (path.name, module, name)
        for path in files
        for module, name in list_imports(path)
        if name
        and module.split(".")[0] not in ("typing", "__future__")
        and not module.startswith("collections")
    ]


@behave.then('every "from" import of the project names a module')
def step(context):
    wrong = []
    for file, module, name in context.imports:
        try:
            importlib.import_module(f"{module}.{name}")
        except ImportError:
            wrong.append((file, module, name))
    assert not wrong, wrong


# Each name is split, so that this file does not contain it and passes its own
# check.
WIRE_NAMES = (
    "run-" + "start",
    "run-" + "stop",
    "kv-" + "txn",
    "kv-" + "range",
    "last" + "_seen",
    "until" + "_ms",
    "fencing" + "_token",
    "estimated" + "_ms",
    "may" + "_miss",
    "enforces" + "_capacity",
    "store" + "_revision",
)
# Modules of the core that define types, and the entry points of the core.
CORE_TYPES = {
    "sapphirestall_core.errors",
    "sapphirestall_core.messages",
    "sapphirestall_core.resources",
    "sapphirestall_core.store_messages",
    "sapphirestall_core.batch.caller_messages",
    "sapphirestall_core.batch.configuration",
    "sapphirestall_core.batch.instance",
    "sapphirestall_core.batch.model",
    "sapphirestall_core.batch.state",
    "sapphirestall_core.batch.worker_list",
    "sapphirestall_core.batch.worker_messages",
}


@behave.when("the sources outside the adapter are read")
def step(context):
    folders = ("packages", "standins", "tools", "bench", "features", "soak")
    context.sources = {
        path: path.read_text(encoding="utf-8")
        for folder in folders
        for path in (ROOT / folder).rglob("*.py")
    }
    assert context.sources


@behave.then("none of them contains a wire name of the platform")
def step(context):
    wrong = [
        (path.name, name)
        for path, text in context.sources.items()
        for name in WIRE_NAMES
        if name in text
    ]
    assert not wrong, wrong


@behave.when("the imports of the adapter are read")
def step(context):
    context.imports = [
        (path.name, f"{module}.{name}")
        for path in ROOT.glob("platform/src/**/*.py")
        for module, name in list_imports(path)
        if module.startswith("sapphirestall_core")
    ]
    assert context.imports


@behave.then("the adapter imports only types and entry points of the core")
def step(context):
    wrong = [pair for pair in context.imports if pair[1] not in CORE_TYPES]
    assert not wrong, wrong
