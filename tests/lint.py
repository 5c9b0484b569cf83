#!/usr/bin/env python3
"""Runs clang-tidy over every source file; fails on any finding. Usage: tests/lint.py BUILD_DIR JOBS [FILE...]

Most of the time that clang-tidy needs for one file goes into the headers. So files that are compiled with the same flags and
define no name twice are joined into one translation unit, with #line directives that keep the locations of findings. A unit
that doesn't compile is checked file by file instead.
"""

import concurrent.futures
import json
import pathlib
import re
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Most files in one unit; with few large units the last one would leave the other processors idle.
MAX_FILES = 8
NAME_PATTERN = re.compile(r"([A-Za-z_]\w*)\s*(?:[({=;\[]|final\b|:(?!:))")
COMPILE_ERROR = "clang-diagnostic-error"


def source_files():
    return [path for folder in ("src", "tests", "platform") for path in sorted((ROOT / folder).glob("*.cpp"))]


def defined_names(path):
    """The names that lines at the first column may define for the whole file; too many only keep files apart."""
    names = set()
    for line in path.read_text().splitlines():
        if not line or line[0] in " #/{}" or re.match(r"(using )?namespace\b", line):
            continue
        test_case = re.match(r"BOOST_\w+\((\w+)", line)
        names |= {test_case.group(1)} if test_case else set(NAME_PATTERN.findall(re.sub(r"\w+::", "", line))[:1] + re.findall(r"^(?:struct|class|enum class|using) (\w+)", line))
    return names


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


def join_into_units(files, commands):
    """Divides the files into units, each a list of files; a file goes to the first unit that it fits."""
    units = []
    for path in files:
        names = defined_names(path)
        flags = compile_flags(commands[path])
        for unit in units:
            if unit["flags"] == flags and len(unit["files"]) < MAX_FILES and not unit["names"] & names and unit["files"][0].parent == path.parent:
                unit["files"].append(path)
                unit["names"] |= names
                break
        else:
            units.append({"files": [path], "names": names, "flags": flags})
    return units


def compile_entry(source, folder, flags):
    return {"directory": str(ROOT), "file": str(source), "command": shlex.join(["c++", *flags, f"-I{folder}", "-c", str(source)])}


def write_unit(folder, number, unit):
    """Writes the joined source; returns the entry for the compile commands."""
    path = folder / f"unit{number}.cpp"
    parts = []
    for source in unit["files"]:
        parts.append(f'#undef BOOST_TEST_MODULE\n#line 1 "{source}"\n{source.read_text()}')
    path.write_text("\n".join(parts))
    return compile_entry(path, unit["files"][0].parent, unit["flags"])


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
    units = join_into_units(files, commands)
    folder = build / "lint"
    folder.mkdir(exist_ok=True)
    (folder / ".clang-tidy").write_text((ROOT / ".clang-tidy").read_text())
    entries = [write_unit(folder, number, unit) for number, unit in enumerate(units)]
    singles = [compile_entry(file, file.parent, unit["flags"]) for unit in units for file in unit["files"]]
    (folder / "compile_commands.json").write_text(json.dumps(entries + singles))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        work = [pool.submit(check_unit, folder, entry["file"], unit["files"]) for entry, unit in zip(entries, units)]
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
