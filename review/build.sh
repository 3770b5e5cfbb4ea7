#!/bin/sh
# Prepares the stand-ins of the cases: they are Python on the standard library and need no packages.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common [1-9]*
