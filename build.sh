#!/usr/bin/env bash
# Runs the tasks of the project; `./build.sh help` lists them.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPATH="$PWD/src:$PWD${PYTHONPATH:+:$PYTHONPATH}"
export PYTHONDONTWRITEBYTECODE=1
PYTHON_SOURCES="src tests bench examples"

# Creates the virtual environment, or recreates it if the pinned requirements have changed.
task_setup() {
    local wanted
    wanted=$(cat requirements/runtime.txt requirements/tools.txt | sha256sum | cut -d' ' -f1)
    if [ "$(cat .venv/requirements.sha256 2>/dev/null)" = "$wanted" ]; then
        return
    fi
    echo "setting up .venv"
    "${PYTHON:-python3}" -m venv .venv
    .venv/bin/python -m pip install --quiet -r requirements/runtime.txt -r requirements/tools.txt
    .venv/bin/python -m pip install --quiet --no-deps --editable .
    echo "$wanted" > .venv/requirements.sha256
}

task_format() { .venv/bin/black --quiet $PYTHON_SOURCES && .venv/bin/ruff check --fix $PYTHON_SOURCES; }

task_lint() {
    .venv/bin/black --check --quiet $PYTHON_SOURCES || { echo "run ./build.sh format"; return 1; }
    .venv/bin/ruff check $PYTHON_SOURCES
    .venv/bin/mypy $PYTHON_SOURCES
}

task_cover() { .venv/bin/python -m nose2 -s tests/cover -t . "$@"; }
task_nocover() { .venv/bin/python -m nose2 -s tests/nocover -t . "$@"; }
task_integration() { .venv/bin/python -m nose2 -s tests/integration -t . "$@"; }

task_test() {
    task_lint
    .venv/bin/python -m nose2 -s tests -t .
    task_bench short
}

task_bench() { .venv/bin/python -m bench.run "${1:-full}"; }

task_soak() { .venv/bin/python -m bench.soak "$@"; }

task_demo() { .venv/bin/python -m examples.demo; }

# Resolves the newest versions of the packages in requirements/*.in and writes the pinned files.
task_pin() {
    local scratch
    scratch=$(mktemp -d)
    "${PYTHON:-python3}" -m venv "$scratch/venv"
    "$scratch/venv/bin/python" -m pip install --quiet -r requirements/runtime.in
    "$scratch/venv/bin/python" -m pip freeze > requirements/runtime.txt
    "$scratch/venv/bin/python" -m pip install --quiet -r requirements/tools.in
    "$scratch/venv/bin/python" -m pip freeze | grep -vixFf requirements/runtime.txt > requirements/tools.txt
    rm -r "$scratch"
}

task_help() {
    cat <<'HELP'
./build.sh TASK
  setup         create .venv from the pinned requirements (most other tasks do this first)
  test          formatter, linter, mypy, all tests, and the short bench with its bounds
  demo          the whole request path as separate processes, with small stand-ins
  bench         the full bench; tables and plots go to bench/results/
  soak          real instances under faults drawn from a seed, for example: soak --seed 7 --for 300
  cover | nocover | integration [nose2 arguments]   the tests in one folder
  lint | format | pin
HELP
}

task=${1:-help}
shift || true
case "$task" in
    setup | help | pin) "task_$task" ;;
    test | demo | bench | soak | lint | format | cover | nocover | integration) task_setup; "task_$task" "$@" ;;
    *) task_help; exit 2 ;;
esac
