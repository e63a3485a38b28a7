"""Prints the result of a test run from the log of ctest and KNOWN-RED.txt.

Exits with 1 if a test failed that has no entry `test: NAME` in KNOWN-RED.txt, if no test ran, or if ctest
itself failed. Usage: verdict.py LOG KNOWN_RED STATUS, where STATUS is the exit code of ctest.
"""

import re
import sys


def read_known_red(path):
    """Returns the names of the tests listed in KNOWN-RED.txt."""
    with open(path, encoding="utf-8") as lines:
        return {line.split(":", 1)[1].strip() for line in lines if line.startswith("test:")}


def main():
    log_path, known_path, status = sys.argv[1], sys.argv[2], int(sys.argv[3])
    with open(log_path, encoding="utf-8", errors="replace") as log:
        results = re.findall(r"Test\s+#\d+: (\S+) \.+\s*(?:\*\*\*)?(\w+)", log.read())
    known = read_known_red(known_path)
    failed = {name for name, result in results if result != "Passed"}
    passed = len(results) - len(failed)
    for name in sorted(failed & known):
        print(f"known red: {name}")
    for name in sorted(failed - known):
        print(f"failed: {name}")
    unexpected = failed - known
    if not results or (status != 0 and not failed):
        print("no test ran, or ctest itself failed")
        return 1
    print(f"{passed} passed, {len(unexpected)} failed, {len(failed & known)} skipped")
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main())
