"""Finds braced temporaries inside co_await expressions.

g++ 12 copies such a temporary bitwise into the coroutine frame and destroys it twice, which corrupts the heap. Name the value
in a local variable before the co_await. Usage: check_coroutines.py FILE...; exits with 1 if one is found.
"""

import re
import sys

STATEMENT = re.compile(r"co_await\b[^;]*?;", re.DOTALL)


def first_line(text, start):
    return text.count("\n", 0, start) + 1


def is_suspect(statement):
    """True if a brace stands inside the awaited call. An empty `{}` of a block after `if (co_await f()) {` does not count."""
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
            if is_suspect(match.group()):
                print(f"{path}:{first_line(text, match.start())}: braced temporary in a co_await expression")
                found += 1
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
