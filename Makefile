# Two commands: `make demo` and `make test`. Each sets up all that it needs, with Python 3.11 or newer.
PYTHON ?= python3
SET_UP = .venv/set-up

.PHONY: demo test lint bench-tenants

demo: $(SET_UP)
	.venv/bin/hillmux demo

test: lint
	.venv/bin/python -m pytest -q -n auto

lint: $(SET_UP)
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache

bench-tenants: $(SET_UP)
	.venv/bin/python benchmarks/tenants.py

$(SET_UP): Makefile requirements.txt requirements-service.txt requirements-dev.txt pyproject.toml
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	.venv/bin/pip -q install --no-deps --config-settings editable_mode=compat -e .
	touch $@
