VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: setup demo test lint format docs pins

setup: $(VENV)/.installed

$(VENV)/.installed: requirements-dev.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --require-hashes -r requirements-dev.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: setup
	$(PYTHON) -m examples.demo

test: setup
	$(PYTHON) -m tests.run

lint: setup
	$(VENV)/bin/ruff format --check src tests examples
	$(VENV)/bin/ruff check src tests examples
	$(VENV)/bin/mypy src/chervilstall

format: setup
	$(VENV)/bin/ruff format src tests examples
	$(VENV)/bin/ruff check --fix src tests examples

docs: setup
	$(PYTHON) -m chervilstall.settings.reference > docs/configuration.md

pins:
	$(PYTHON) -m pip install --quiet pip-tools
	$(VENV)/bin/pip-compile -q --generate-hashes --allow-unsafe --strip-extras --no-emit-index-url --no-emit-find-links --output-file requirements.txt requirements.in
	$(VENV)/bin/pip-compile -q --generate-hashes --allow-unsafe --strip-extras --no-emit-index-url --no-emit-find-links --output-file requirements-dev.txt requirements-dev.in
