#!/bin/sh
# Builds the stand-ins of the cases: they are Python files of the standard library alone, which are compiled here.
# Run after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q . >/dev/null
