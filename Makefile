VENV ?= .venv
PYTHON = $(VENV)/bin/python
SOURCES = anvilthread platform standins soak demo benchmarks examples tests tools

.PHONY: setup test lint format types demo bench binary soak

SEED ?= 1
SEEDS ?= 1
SECONDS ?= 20

setup: $(VENV)/.installed

$(VENV)/.installed: requirements-dev.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements-dev.lock
	touch $(VENV)/.installed

test: setup
	$(PYTHON) -m pytest

lint: setup
	$(PYTHON) -m ruff format --check $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)

format: setup
	$(PYTHON) -m ruff format $(SOURCES)

types: setup
	$(PYTHON) -m mypy
	MYPYPATH=platform $(PYTHON) -m mypy --explicit-package-bases platform/*.py

demo: setup
	$(PYTHON) -m demo

bench: setup
	$(PYTHON) -m benchmarks

binary: setup
	$(PYTHON) -m tools.binary dist/anvilthread
	$(PYTHON) -I -S tools/smoke_test.py dist/anvilthread
	$(PYTHON) -m tools.serve_test dist/anvilthread

soak: setup
	$(PYTHON) -m soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)
	$(PYTHON) -m soak.connections --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)
