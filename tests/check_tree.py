#!/usr/bin/env python3
"""Checks of the tree: the platform's names stay in platform/ and deploy/, and both lists of packages agree."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Names that the product uses for something of its own.
OWN_WORDS = {"Content-Type", "POST", "PUT", "application/json", "Authorization",
             "priority", "model", "models", "version", "service", "services", "weights", "state", "name", "kind", "address", "slots", "key", "value", "host", "weight", "path", "ready", "draining",
             "layers", "engine", "limits", "events", "items", "revision", "routes", "active", "busy", "queued", "prompt", "answer", "wait", "start", "born", "from", "target", "origin", "zone",
             "chunks", "sticky", "stage", "expect", "digests", "prefix", "operation", "removed", "idempotent", "usual", "streaming", "tenants"}


def platform_names():
    """Quoted words of platform/ that only the platform uses."""
    names = set()
    for path in (ROOT / "platform").glob("*.cpp"):
        for line in path.read_text().splitlines():
            if line.startswith("#include"):
                continue
            names |= set(re.findall(r'"([A-Za-z_][A-Za-z0-9_/-]*)"', line))
    return {name for name in names if name not in OWN_WORDS and len(name) > 3}


def types_defined_twice():
    """Types that two headers define in one namespace. Programs that link both would mix up their members."""
    headers = {}
    for folder in ("src", "platform", "tests"):
        for path in sorted((ROOT / folder).glob("*.h")):
            text = path.read_text()
            namespace = re.search(r"^namespace ([\w:]+)", text, re.M)
            for name in re.findall(r"^(?:struct|class|enum class) (\w+)(?!::)\b[^;\n]*\{", text, re.M):
                headers.setdefault((namespace.group(1) if namespace else "", name), []).append(path.name)
    return [f"{name} is defined in {' and '.join(paths)}" for (_, name), paths in headers.items() if len(paths) > 1]


def main():
    faults = []
    names = platform_names()
    for path in sorted((ROOT / "src").glob("*.*")):
        text = path.read_text()
        quoted = set(re.findall(r'"([^"\n]*)"', text))
        for name in sorted(names & quoted):
            faults.append(f"{path.name}: \"{name}\" is a name of the platform")
        for pattern in (r"Bilberrybarrow-", r"\"/bilberrybarrow/", r"BILBERRYBARROW_", r"op/(config|evacuate|version)"):
            if re.search(pattern, text):
                faults.append(f"{path.name}: {pattern} belongs into platform/")
    listed = (ROOT / "packages.txt").read_text().split()
    deployed = re.findall(r'"([^"]+)"', re.search(r"^packages = \[(.*)\]$", (ROOT / "deploy" / "system.toml").read_text(), re.M).group(1))
    if sorted(listed) != sorted(deployed):
        faults.append(f"packages.txt and deploy/system.toml differ: {sorted(set(listed) ^ set(deployed))}")
    platform_lines = sum(len(path.read_text().splitlines()) for path in (ROOT / "platform").iterdir())
    source_lines = sum(len(path.read_text().splitlines()) for path in (ROOT / "src").glob("*.*"))
    if platform_lines * 10 > source_lines:
        faults.append(f"platform/ has {platform_lines} lines, over a tenth of src/ with {source_lines}")
    faults += types_defined_twice()
    print("\n".join(faults) or f"tree: clean, platform/ {platform_lines} lines, src/ {source_lines}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
