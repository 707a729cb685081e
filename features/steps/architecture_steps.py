"""Steps for architecture.feature."""

import ast
import importlib
import pathlib

import behave

ROOT = pathlib.Path(__file__).parents[2]


def list_imports(path):
    """Yields (module, name or None) for each import of a file."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name, None
        elif isinstance(node, ast.ImportFrom):
            for alias in node.names:
                yield node.module, alias.name


@behave.when("the imports of the core are read")
def step(context):
    files = list(ROOT.glob("packages/core/src/*/*.py"))
    assert files
    context.imports = [
        (path.name, module)
        for path in files
        for module, _ in list_imports(path)
    ]


@behave.then("the core imports only attrs, cattrs, its own modules and")
def step(context):
    allowed = {"attrs", "cattrs", "sapphirestall_core", *context.text.split()}
    wrong = [pair for pair in context.imports if pair[1] not in allowed]
    assert not wrong, wrong


@behave.when("the imports of all packages are read")
def step(context):
    files = list(ROOT.glob("packages/*/src/*/*.py"))
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
