#!/bin/sh
# The stand-ins of the second review (cases 6 to 10) need the standard library only: this checks that they load.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -P -c 'import sys; sys.path.insert(0, "review"); sys.dont_write_bytecode = True; import standins_2'
