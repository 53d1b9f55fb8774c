"""Counts the tests of one Criterion XML report: summarize-tests.py REPORT KNOWN_RED_FILE.

Prints "passed failed known-red", then a line per failing test.
"""
import os
import sys
import xml.etree.ElementTree as ElementTree


def known_red_names(path):
    """Returns the test names that the known-failures file lists, empty when there is no file."""
    if not os.path.exists(path):
        return set()
    with open(path, encoding="utf-8") as file:
        return {line.split(":", 1)[1].strip() for line in file if line.startswith("test:")}


def main():
    root = ElementTree.parse(sys.argv[1]).getroot()
    known = known_red_names(sys.argv[2])
    passed, failed, red, lines = 0, 0, 0, []
    for suite in root.iter("testsuite"):
        for case in suite.iter("testcase"):
            name = f"{suite.get('name')}::{case.get('name')}"
            bad = case.find("failure") is not None or case.find("error") is not None or case.get("status") in (
                "FAILED", "ERRORED")
            if not bad:
                passed += 0 if case.get("status") == "SKIPPED" else 1
            elif name in known:
                red += 1
                lines.append(f"known red: {name}")
            else:
                failed += 1
                lines.append(f"FAILED: {name}")
    print(passed, failed, red)
    print("\n".join(lines))


main()
