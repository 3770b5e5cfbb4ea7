#!/bin/sh
# Puts the product and what it needs to run into target/deps, which is on Python's path there.
set -eu
deps=target/deps
if [ ! -e "$deps/.requirements" ] || ! cmp -s requirements/runtime.txt "$deps/.requirements"; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r requirements/runtime.txt
    cp requirements/runtime.txt "$deps/.requirements"
fi
rm -rf "$deps/wagtailpoint"
cp -r src/wagtailpoint "$deps/wagtailpoint"
# Compiled here: the machines can't write next to the sources, and compiling takes a second of them.
python3 -m compileall -q "$deps" > /dev/null || true
