#!/usr/bin/env bash
# Runs clang-tidy over every source file; fails on any finding. Usage: tests/lint.sh BUILD_DIR JOBS
set -euo pipefail
build=$1
jobs=$2
printf '%s\0' src/*.cpp tests/*.cpp | xargs -0 -n 1 -P "$jobs" clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: clean"
