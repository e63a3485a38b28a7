"""What the scripts share: the record of a case, its result, and the end of all that it started."""

import asyncio
import os
import shutil
import sys
import time
from pathlib import Path

from platform3 import ROOT, temporary_folder

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Case:
    def __init__(self, path):
        self.path = Path(path)
        self.lines = []
        self.start = time.monotonic()
        self.trouble = os.environ.get("TROUBLE") != "0"
        self.logs = temporary_folder()
        self.things = []

    def note(self, text):
        line = f"{time.monotonic() - self.start:8.3f} s  {text}"
        self.lines.append(line)
        print(line, flush=True)

    def add(self, thing):
        """Adds a process or a stand-in that is ended with the case."""
        self.things.append(thing)
        return thing

    async def end(self):
        for thing in reversed(self.things):
            await (thing.end() if hasattr(thing, "end") else thing.stop())
        self.path.write_text("\n".join(self.lines) + "\n")
        shutil.rmtree(self.logs, ignore_errors=True)


class CannotRun(Exception):
    pass


def run(path, body, limit_s=100):
    """Runs `body(case)`, which returns whether the rule held, writes the record to `path` and exits with 0, 1 or 2."""

    async def main():
        case = Case(path)
        case.note(f"disruption: {'yes' if case.trouble else 'no'}")
        try:
            if not (ROOT / "target/bin/chiveshelfd").exists():
                raise CannotRun("target/bin/chiveshelfd is missing: the build of the deploy file comes first")
            held = await asyncio.wait_for(body(case), limit_s)
            case.note("the rule held" if held else "THE RULE IS BROKEN")
            return HELD if held else BROKEN
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            case.note(f"the case could not run: {error!r}")
            return CANNOT_RUN
        finally:
            await case.end()

    logging_off = __import__("logging").getLogger("asyncio")
    logging_off.setLevel(__import__("logging").CRITICAL)
    sys.exit(asyncio.run(main()))
