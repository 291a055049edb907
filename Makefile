PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := quetzalsill quetzalsill-gateway quetzalsill-router quetzalsill-sidecar quetzalsill-cli quetzalsill-dev
STAMP := $(VENV)/.installed

.PHONY: bench install test lint format demo bench-path bench-capacity bench-faults bench-gateway bench-telling compare soak clean

install: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(PACKAGES:%=packages/%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --no-input setuptools wheel -c constraints.txt
	$(BIN)/pip install -q --no-input --no-build-isolation -c constraints.txt \
	  -r requirements-dev.txt $(PACKAGES:%=-e packages/%)
	touch $@

lint: $(STAMP)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m quetzalsill_dev.testing.run_suite

demo: $(STAMP)
	$(BIN)/python -m quetzalsill_dev.demo

bench-path: $(STAMP)
	$(BIN)/python -m quetzalsill_dev.bench.path

bench-capacity: $(STAMP)
	$(BIN)/python -m quetzalsill_dev.bench.capacity

bench: $(STAMP)
	$(BIN)/python -m quetzalsill_dev.bench.crowd

bench-gateway: $(STAMP)
	$(BIN)/python -m quetzalsill_dev.bench.gateway

bench-telling: $(STAMP)
	$(BIN)/python -m quetzalsill_dev.bench.telling

# WAYS, SITES, DAYS, SEEDS: lists; BENCH: the users' bench.
compare: $(STAMP)
	$(BIN)/python -m quetzalsill_dev.compare --bench $(BENCH) \
	  $(WAYS:%=--way %) $(SITES:%=--site %) $(DAYS:%=--day %) \
	  $(SEEDS:%=--seed %) $(COMPARE_OPTIONS)

soak: $(STAMP)
	$(BIN)/python -m quetzalsill_dev.soak --seeds 5

bench-faults: $(STAMP)
	$(BIN)/python -m quetzalsill_dev.bench.faults

clean:
	rm -rf $(VENV) bench-results run-demo
