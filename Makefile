# One environment per checkout; the lock file pins everything with hashes.
PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV := .venv
BIN := $(VENV)/bin

.PHONY: all setup test demo demo-platform soak format check-format lint ci lock clean

all: test

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -c "import sys; sys.exit(sys.version_info[:2] != (3, 11))" || \
		{ echo "agatepick needs Python 3.11; set PYTHON=..." >&2; exit 1; }
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--require-hashes -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation --editable .
	touch $@

setup: $(VENV)/.ready

test: setup
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/agatepick demo

demo-platform: setup
	$(BIN)/python -m examples.platform_path

soak: setup
	$(BIN)/python -m tests.soak --first=1 --count=50

format: setup
	$(BIN)/ruff format src tests examples

check-format: setup
	$(BIN)/ruff format --check src tests examples

lint: setup
	$(BIN)/flake8 src tests examples
	$(BIN)/mypy

ci: check-format lint test

# Needs uv; run after a change of the ranges in pyproject.toml.
lock:
	uv pip compile --quiet --universal --generate-hashes --extra bench \
		--extra dev --no-emit-index-url --no-annotate \
		--output-file requirements.lock pyproject.toml requirements.build

clean:
	rm -rf $(VENV) build out
