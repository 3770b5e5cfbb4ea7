#!/bin/sh
# Installs wagtailpoint and its runtime requirements into target/deps, which is on the Python path
# of the platform.
set -eu
deps=target/deps
if [ ! -e "$deps/.requirements" ] || ! cmp -s requirements/runtime.txt "$deps/.requirements"; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r requirements/runtime.txt
    cp requirements/runtime.txt "$deps/.requirements"
fi
# Unchanged sources are not copied again, as a process that starts during the copy would not find
# them.
if ! diff -rq -x __pycache__ src/wagtailpoint "$deps/wagtailpoint" > /dev/null 2>&1; then
    rm -rf "$deps/wagtailpoint"
    cp -r src/wagtailpoint "$deps/wagtailpoint"
    # Compiled during the build: the instances can't write next to the sources, so each start would
    # compile them again, which takes a second there.
    python3 -m compileall -q "$deps" > /dev/null || true
fi
