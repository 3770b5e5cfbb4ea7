#!/bin/sh
# Puts the product and what it needs to run into target/deps, which is on Python's path there.
set -eu
deps=target/deps
if [ ! -e "$deps/.requirements" ] || ! cmp -s requirements/runtime.txt "$deps/.requirements"; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r requirements/runtime.txt
    cp requirements/runtime.txt "$deps/.requirements"
fi
# Unchanged sources are left alone: a process that starts while they are copied would not find them.
if ! diff -rq -x __pycache__ src/wagtailpoint "$deps/wagtailpoint" > /dev/null 2>&1; then
    rm -rf "$deps/wagtailpoint"
    cp -r src/wagtailpoint "$deps/wagtailpoint"
    # Compiled here: the machines can't write next to the sources, and compiling takes a second there.
    python3 -m compileall -q "$deps" > /dev/null || true
fi
