PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
BINARY ?= dist/hyssopweir
# Test processes; most tests run in virtual time and need no idle processor.
TEST_JOBS ?= 4
SOURCES := hyssopweir tests benchmarks experiments soak

.PHONY: demo test check format binary bench experiment soak soak-virtual clean

$(READY): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(READY)

demo: $(READY)
	$(BIN)/hyssopweir demo

test: $(READY)
	$(BIN)/python -m pytest -n $(TEST_JOBS) --dist worksteal $(PYTEST_ARGS)

check: $(READY)
	$(BIN)/black --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy

format: $(READY)
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

binary: $(READY)
	mkdir -p $(dir $(BINARY))
	$(BIN)/shiv --quiet --compressed --reproducible -c hyssopweir -o $(BINARY) -p "/usr/bin/env python3.11" --no-deps -r requirements.runtime.lock .

bench: $(READY)
	$(BIN)/python -m benchmarks

experiment: $(READY)
	$(BIN)/python -m experiments

# Real processes with faults from outside; records of the runs go to build/soak.
soak: $(READY)
	$(BIN)/python -m soak --seed $(or $(SEED),1) --runs $(or $(RUNS),10) --shape $(or $(SHAPE),small)

# Whole instances on fakes in virtual time.
soak-virtual: $(READY)
	$(BIN)/python -m pytest tests/test_random_faults.py --soak-seed=$(or $(SEED),1) --soak-runs=$(or $(RUNS),200)

clean:
	rm -rf build dist $(VENV)
