"""Finds braced temporaries in co_await expressions.

g++ 12 copies such a temporary bitwise into the coroutine frame and destroys it twice, which corrupts the heap. Assign the value
to a local variable before the co_await instead. Usage: check_coroutines.py FILE...; exits with 1 if a temporary is found.
"""

import re
import sys

STATEMENT = re.compile(r"co_await\b[^;]*?;", re.DOTALL)


def line_number(text, start):
    return text.count("\n", 0, start) + 1


def has_braced_temporary(statement):
    """Returns True if the awaited call contains a brace. The brace that opens a block after `if (co_await f())` is ignored."""
    depth = 0
    for character in statement[len("co_await") :]:
        if character == "(":
            depth += 1
        elif character == ")":
            depth -= 1
            if depth < 0:
                return False
        elif character == "{":
            return depth > 0
    return False


def main():
    found = 0
    for path in sys.argv[1:]:
        with open(path, encoding="utf-8") as source:
            text = source.read()
        for match in STATEMENT.finditer(text):
            if has_braced_temporary(match.group()):
                print(f"{path}:{line_number(text, match.start())}: braced temporary in a co_await expression")
                found += 1
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
