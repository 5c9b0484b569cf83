#!/usr/bin/env python3
"""Divides source files into units that compile as one. Usage: tests/joined_units.py FILE...; prints a line "UNIT FILE" each.

Most of the time that a compiler or clang-tidy needs for one file goes into the headers. Files that define no name twice can be
joined into one translation unit.
"""

import pathlib
import re
import sys

# Most files in one unit; with few large units the last one would leave the other processors idle.
MAX_FILES = 8
NAME_PATTERN = re.compile(r"([A-Za-z_]\w*)\s*(?:[({=;\[]|final\b|:(?!:))")


def defined_names(path):
    """The names that lines at the first column may define for the whole file; too many only keep files apart."""
    names = set()
    for line in path.read_text().splitlines():
        if not line or line[0] in " #/{}" or re.match(r"(using )?namespace\b", line):
            continue
        test_case = re.match(r"BOOST_\w+\((\w+)", line)
        names |= {test_case.group(1)} if test_case else set(NAME_PATTERN.findall(re.sub(r"\w+::", "", line))[:1] + re.findall(r"^(?:struct|class|enum class|using) (\w+)", line))
    return names


def join_into_units(files, kind_of):
    """Divides the files into units, each a list of files of one folder and one kind; a file goes to the first that it fits."""
    units = []
    for path in files:
        names = defined_names(path)
        kind = (path.parent, kind_of(path))
        for unit in units:
            if unit["kind"] == kind and len(unit["files"]) < MAX_FILES and not unit["names"] & names:
                unit["files"].append(path)
                unit["names"] |= names
                break
        else:
            units.append({"files": [path], "names": names, "kind": kind})
    return [unit["files"] for unit in units]


def main():
    # A file that defines flags stays alone: programs link such a file of a library only if they use its flags.
    files = [path for path in map(pathlib.Path, sys.argv[1:]) if not re.search(r"^DEFINE_\w+\(", path.read_text(), re.M)]
    for number, unit in enumerate(join_into_units(files, lambda path: None)):
        for path in unit:
            print(f"{number} {path}")


if __name__ == "__main__":
    main()
