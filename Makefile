# Two commands: `make demo` and `make test`. Each sets up all that it needs, with Python 3.11 or newer.
PYTHON ?= python3
SET_UP = .venv/set-up

.PHONY: demo test lint bench bench-path bench-tenants bench-capacity

demo: $(SET_UP)
	.venv/bin/hillmux demo

test: lint
	.venv/bin/python -m pytest -q -n auto --dist worksteal

lint: $(SET_UP)
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache

# This tree against a revision, say BASE=HEAD~1: exit 1 where a request costs more, beyond the noise.
BASE ?= HEAD
bench: $(SET_UP)
	.venv/bin/python benchmarks/module.py --base $(BASE)
	.venv/bin/python benchmarks/path.py --base $(BASE) --blocks 100

bench-path: $(SET_UP)
	.venv/bin/pip -q install -r requirements-bench.txt
	.venv/bin/python benchmarks/module.py --svg docs/cost.svg
	.venv/bin/python benchmarks/path.py --system-calls --flame bench-flame.svg --open-rate 2000

bench-tenants: $(SET_UP)
	.venv/bin/python benchmarks/tenants.py

bench-capacity: $(SET_UP)
	.venv/bin/python -m benchmarks.capacity measure --seeds 1 2
	.venv/bin/python -m benchmarks.capacity page

$(SET_UP): Makefile requirements.txt requirements-service.txt requirements-build.txt requirements-dev.txt pyproject.toml
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	.venv/bin/pip -q install --no-deps --config-settings editable_mode=compat -e .
	touch $@
