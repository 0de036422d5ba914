# Every target makes its own environment from the lock file, once.
PYTHON ?= python3.11
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed-$(shell cat requirements/*.lock | cksum | cut -d' ' -f1)
SEED ?= 1

.PHONY: test lint format env demo bench-relay binary

env: $(STAMP)

$(STAMP):
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements/develop.lock
	touch $@

test: $(STAMP)
	$(PY) -m tests

lint: $(STAMP)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .

format: $(STAMP)
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

demo: $(STAMP)
	@PYTHON=$(abspath $(PY)) demo/run.sh

bench-relay: $(STAMP)
	@PYTHON=$(abspath $(PY)) tools/bench_relay.sh

binary: $(STAMP)
	$(PY) tools/build_binary.py dist/peridotcove
