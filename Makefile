PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
CODE := src platform standins bench soak tests deploy
export PYTHONPATH := src:platform:standins:bench:soak:tests

.PHONY: test lint types demo up bench costs pages slopes soak process-soak format

test: lint types
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 $(CODE)

types: $(STAMP)
	$(BIN)/mypy -p tidegrade -p tidegrade_platform -p tidegrade_standins \
		-p tidegrade_edge -p tidegrade_fakes -p tidegrade_bench \
		-p tidegrade_soak

demo: $(STAMP)
	$(BIN)/python -m tidegrade_bench demo

up: $(STAMP)
	$(BIN)/python -m tidegrade_bench up

SECONDS ?= 60
SEED ?= 0

soak: $(STAMP)
	$(BIN)/python -m tidegrade_bench soak --seconds $(SECONDS) --seed $(SEED)

COUNT ?= 5
FIRST ?= 0
JOBS ?= 2

process-soak: $(STAMP)
	$(BIN)/python -m tidegrade_soak --count $(COUNT) --first $(FIRST) \
		--jobs $(JOBS)

ONLY ?=

bench: $(STAMP)
	$(BIN)/python -m tidegrade_bench bench --only '$(ONLY)'

costs: $(STAMP)
	$(BIN)/python -m tidegrade_bench costs --only '$(ONLY)'

pages: $(STAMP)
	$(BIN)/python -m tidegrade_bench pages

slopes: $(STAMP)
	$(BIN)/python -m tidegrade_bench slopes

format: $(STAMP)
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)
