VENV ?= .venv
PYTHON = $(VENV)/bin/python
SOURCES = marigoldwalk standins bench faults soak tests

.PHONY: setup test run bench faults soak format

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -e '.[dev]'
	touch $@

test: setup
	$(PYTHON) -m black --check -q $(SOURCES)
	$(PYTHON) -m ruff check -q $(SOURCES)
	$(PYTHON) -m pytest

run: setup
	$(PYTHON) -m standins.demo

bench: setup
	$(PYTHON) -m bench

faults: setup
	$(PYTHON) -m faults

# SOAK holds the options of `python -m soak`, e.g. SOAK='--first 1 --count 50'.
soak: setup
	$(PYTHON) -m soak $(SOAK)

format: setup
	$(PYTHON) -m ruff check -q --fix $(SOURCES)
	$(PYTHON) -m black -q $(SOURCES)
