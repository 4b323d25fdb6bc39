# Two commands for a fresh machine: `make demo` and `make test`.
VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test bench lint format binary clean

$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: $(STAMP)
	$(PYTHON) demo/run.py

test: $(STAMP)
	$(PYTHON) -m pytest

bench: $(STAMP)
	$(PYTHON) bench/run.py

lint: $(STAMP)
	$(VENV)/bin/ruff format --check src tests demo bench testbed
	$(VENV)/bin/ruff check src tests demo bench testbed
	$(VENV)/bin/flake8 src tests demo bench testbed
	$(VENV)/bin/lint-imports

format: $(STAMP)
	$(VENV)/bin/ruff check --fix src tests demo bench testbed
	$(VENV)/bin/ruff format src tests demo bench testbed

binary: $(STAMP)
	mkdir -p dist
	$(VENV)/bin/shiv --quiet --compressed -c kelproad -o dist/kelproad .

clean:
	rm -rf $(VENV) build dist
