#!/usr/bin/env python3
"""Each flag, metric and refusal reason of the sources is on an operators' page."""

import re

import harness


def names(pattern):
    """The first group of each match in the sources."""
    texts = [path.read_text() for path in sorted((harness.ROOT / "src").glob("*.*"))]
    return {match for text in texts for match in re.findall(pattern, text)}


def main():
    harness.parse_arguments(__doc__)
    docs = harness.ROOT / "docs"
    pages = [docs / "OPERATIONS.md", *sorted((docs / "operations").glob("*.md"))]
    text = "\n".join(page.read_text() for page in pages)
    wanted = {f"--{name}" for name in names(r"(?m)^DEFINE_\w+\((\w+),")}
    wanted |= names(r'"(bilberry_\w+)"')
    wanted |= {f"`{name}`" for name in names(r'\{ RefusalReason::\w+, "([\w-]+)"')} - {"`none`"}
    assert len(wanted) > 60, wanted
    missing = sorted(name for name in wanted if name not in text)
    assert not missing, f"on no operators' page: {missing}"


if __name__ == "__main__":
    harness.main(main)
