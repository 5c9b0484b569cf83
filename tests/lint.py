#!/usr/bin/env python3
"""Runs clang-tidy over every source file; fails on any finding. Usage: tests/lint.py BUILD_DIR JOBS [FILE...]

Files that are compiled with the same flags are joined into units (see joined_units.py), with #line directives that keep the
locations of findings. A unit that doesn't compile is checked file by file instead.
"""

import concurrent.futures
import json
import pathlib
import shlex
import subprocess
import sys

import joined_units

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMPILE_ERROR = "clang-diagnostic-error"


def source_files():
    return [path for folder in ("src", "tests", "platform") for path in sorted((ROOT / folder).glob("*.cpp"))]


def compile_flags(entry):
    """The words of a compile command without the compiler, the source and the outputs."""
    words = shlex.split(entry["command"])[1:]
    flags = []
    while words:
        word = words.pop(0)
        if word in ("-o", "-MF", "-MT"):
            words.pop(0)
        elif word == "-include":
            # The precompiled header is of another compiler; the sources include what they use.
            words.pop(0)
        elif word not in ("-c", "-MD", "-Winvalid-pch") and word != entry["file"]:
            flags.append(word)
    return tuple(flags)


def compile_entry(source, folder, flags):
    return {"directory": str(ROOT), "file": str(source), "command": shlex.join(["c++", *flags, f"-I{folder}", "-c", str(source)])}


def write_unit(folder, number, files, flags):
    """Writes the joined source; returns the entry for the compile commands."""
    path = folder / f"unit{number}.cpp"
    parts = []
    for source in files:
        parts.append(f'#undef BOOST_TEST_MODULE\n#line 1 "{source}"\n{source.read_text()}')
    path.write_text("\n".join(parts))
    return compile_entry(path, files[0].parent, flags)


def run_tidy(folder, path):
    """Returns whether clang-tidy found nothing, and what it printed."""
    done = subprocess.run(["clang-tidy", "-p", str(folder), "--quiet", str(path)], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    return done.returncode == 0, done.stdout


def check_unit(folder, path, files):
    is_clean, output = run_tidy(folder, path)
    if not is_clean and COMPILE_ERROR in output and len(files) > 1:
        results = [run_tidy(folder, file) for file in files]
        return all(clean for clean, _ in results), "".join(text for _, text in results)
    return is_clean, output


def main():
    build, jobs = pathlib.Path(sys.argv[1]).resolve(), int(sys.argv[2])
    commands = {pathlib.Path(entry["file"]): entry for entry in json.loads((build / "compile_commands.json").read_text())}
    files = [ROOT / name for name in sys.argv[3:]] or source_files()
    flags = {path: compile_flags(commands[path]) for path in files}
    units = joined_units.join_into_units(files, flags.get)
    folder = build / "lint"
    folder.mkdir(exist_ok=True)
    (folder / ".clang-tidy").write_text((ROOT / ".clang-tidy").read_text())
    entries = [write_unit(folder, number, unit, flags[unit[0]]) for number, unit in enumerate(units)]
    singles = [compile_entry(file, file.parent, flags[file]) for file in files]
    (folder / "compile_commands.json").write_text(json.dumps(entries + singles))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        work = [pool.submit(check_unit, folder, entry["file"], unit) for entry, unit in zip(entries, units)]
        results = [result.result() for result in work]
    for is_clean, output in results:
        if not is_clean:
            print(output)
    if not all(is_clean for is_clean, _ in results):
        return 1
    print(f"lint: clean, {len(files)} files in {len(units)} units")
    return 0


if __name__ == "__main__":
    sys.exit(main())
