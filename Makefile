PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo run test check bench soak fault-soak capacity lock clean reference

setup: $(STAMP)

# The stamp is written last, so that an interrupted install starts again.
$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $(STAMP)

demo: setup
	$(BIN)/python -m sardinemast.demo

run: setup
	$(BIN)/python -m sardinemast.demo --keep

check: setup
	$(BIN)/ruff format --check src tests bench tools
	$(BIN)/ruff check src tests bench tools
	$(BIN)/flake8 src tests bench tools
	$(BIN)/mypy
	$(BIN)/lint-imports

test: setup
	$(BIN)/pytest -n 8

bench: setup
	$(BIN)/python -m bench

# Rewrites the measured tables of docs/CAPACITY.md.
capacity: setup
	$(BIN)/python -m bench.capacity

# New seeds until a fault is found; hypothesis prints the smallest history.
soak: setup
	HYPOTHESIS_PROFILE=soak $(BIN)/pytest -n 8 -m fuzz

# Real processes under faults from outside; those that fail keep their logs.
fault-soak: setup
	cd tests && ../$(BIN)/python -m soak --known --fresh=50

lock: setup
	$(BIN)/uv pip compile --quiet --all-extras --generate-hashes --no-header --no-emit-index-url pyproject.toml -o requirements.lock
	$(BIN)/uv pip compile --quiet --generate-hashes --no-header --no-emit-index-url pyproject.toml -o deploy/requirements.txt

clean:
	rm -rf $(VENV) var

reference: setup
	$(BIN)/python -m tools.errors_page
