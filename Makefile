# Every target sets up $(VENV) from requirements.lock first.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup demo check format lint types test bench clean lock

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
	$(BIN)/ruff format figstep tests benchmarks
	$(BIN)/ruff check --fix figstep tests benchmarks

lint: setup
	$(BIN)/ruff format --check figstep tests benchmarks
	$(BIN)/ruff check figstep tests benchmarks

types: setup
	$(BIN)/mypy figstep

test: setup
	$(BIN)/python -m pytest -q

bench: setup
	$(BIN)/python -m benchmarks.hot_path

# Run only when a dependency is added or raised on purpose.
lock: setup
	$(BIN)/pip freeze --exclude-editable > requirements.lock

clean:
	rm -rf $(VENV) build dist *.egg-info
