# The front door: each target does all of its own set-up.
PYTHON ?= python3
BIN := .venv/bin
UV_VERSION := 0.13.9

.PHONY: setup demo test lint format bench slopes mutate soak clean

setup: .venv/.ready

.venv/.ready: pyproject.toml packages/*/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet uv==$(UV_VERSION)
	$(BIN)/uv sync --quiet --inexact
	touch $@

demo: setup
	$(BIN)/python -m samphirepost_bench demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/flake8 packages tests

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

bench: setup
	$(BIN)/python -m samphirepost_bench experiment

slopes: setup
	$(BIN)/python -m samphirepost_bench slopes

mutate: setup
	$(BIN)/python -m samphirepost_bench mutate

soak: setup
	$(BIN)/python -m samphirepost_bench soak --runs 10

clean:
	rm -rf .venv
