#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs of this folder and of tests/, so they are only compiled.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib

for folder in (pathlib.Path("tests"), *pathlib.Path("review").glob("**/")):
    for path in folder.glob("*.py"):
        compile(path.read_text(), str(path), "exec")
PY
