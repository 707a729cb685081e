# Every target sets up what it needs: Python 3.11, pip and make suffice.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup format check test demo load budget bench contention waits mutations soak clean

setup: $(STAMP)

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e packages/core -e packages/entry -e packages/operator -e platform
	touch $(STAMP)

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

clean:
	rm -rf $(VENV) build report

demo: $(STAMP)
	$(BIN)/python -m standins.demo

bench: $(STAMP)
	$(BIN)/python -m bench

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

# Worth of opportunistic work beside serving tasks, and of all classes while
# long-running tasks fill the fleet; RACKS=N sets the division.
contention: $(STAMP)
	$(BIN)/python -m bench.contention $(or $(SEED),1) $(RACKS)
	$(BIN)/python -m bench.full_fleet $(or $(SEED),1) $(RACKS)

# Longest times without a run of long-running tasks, from log files (FILES).
waits: $(STAMP)
	$(BIN)/python -m tools.task_waits $(FILES)

# Processor time of starts, listings, idle seconds and calls.
cost: $(STAMP)
	$(BIN)/python -m bench.batch_cost
	$(BIN)/python -m bench.call_cost

test: check
	$(BIN)/python -m tools.verdict

load: $(STAMP)
	$(BIN)/python -m tools.load

# Random sequences of work and faults; prints its seed. SEED=N repeats a run.
fuzz: $(STAMP)
	$(BIN)/python -m standins.fuzz $(if $(SEED),--seed $(SEED)) $(if $(EXAMPLES),--examples $(EXAMPLES))

# Switches one mechanism off at a time; a trace or scenario must then fail.
mutations: $(STAMP)
	$(BIN)/python -m tools.mutations

# Real processes under faults; `report/soak` keeps the logs of a failed seed.
soak: $(STAMP)
	$(BIN)/python -m soak $(if $(SEED),--seed $(SEED)) $(if $(COUNT),--count $(COUNT)) $(if $(SECONDS),--seconds $(SECONDS)) $(if $(SIZE),--size $(SIZE)) $(if $(REGRESSIONS),--regressions)

budget: $(STAMP)
	$(BIN)/python -m tools.budget

# Times and costs of recovery in virtual time.
recovery: $(STAMP)
	$(BIN)/python -m tools.recovery
