#!/bin/sh
# Prepares the stand-ins of cases 6 to 10: Python on the standard library, in standins/.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins 6 7 8 9 10
