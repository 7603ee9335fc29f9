# Every target sets up $(VENV) from requirements.lock first.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup demo check format lint types test bench soak faults binary clean lock

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(BIN)/figstep demo

check: setup lint types test

format: setup
	$(BIN)/ruff format figstep tests benchmarks tools
	$(BIN)/ruff check --fix figstep tests benchmarks tools

lint: setup
	$(BIN)/ruff format --check figstep tests benchmarks tools
	$(BIN)/ruff check figstep tests benchmarks tools

types: setup
	$(BIN)/mypy figstep benchmarks tools

test: setup
	$(BIN)/python -m pytest -q

# One file; start it with python3.11 and SHIV_ROOT on a memory file system.
binary: setup
	mkdir -p dist
	$(BIN)/python -m tools.build_binary dist/figstep
	$(BIN)/python -m benchmarks.binary dist/figstep

bench: setup
	$(BIN)/python -m benchmarks.hot_path

# Prints its seed first; --seed repeats a run.
soak: setup
	$(BIN)/python -m tests.soak

# Real entries under faults from outside; prints its seeds first.
faults: setup
	$(BIN)/python -m tests.faults --runs 50

# Run only when a dependency is added or raised on purpose.
lock: setup
	$(BIN)/pip freeze --exclude-editable > requirements.lock

clean:
	rm -rf $(VENV) build dist *.egg-info
