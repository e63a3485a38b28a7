"""Runs clang-tidy on batches of sources, so that the headers that they share are parsed once per batch.

A batch is a translation unit with the concatenated text of its sources. Sources with conflicting private names are put into
different batches. If clang-tidy reports anything for a batch, its sources are checked one by one, and only these results count
and are printed. Usage: lint_batches.py BUILD_FOLDER JOBS FILE...; exits with 1 if clang-tidy reports a finding.
"""

import concurrent.futures
import json
import os
import re
import shlex
import subprocess
import sys
import tempfile
from pathlib import Path

# Larger batches save little, since the sources themselves then dominate the time, and delay the end of the last batch.
MAX_SOURCES_PER_BATCH = 8
CLANG_TIDY = [
    "clang-tidy",
    "--quiet",
    "--extra-arg=-D__cpp_impl_coroutine=201902L",
    "--extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1",
    "--extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1",
    "--extra-arg=-Wno-unknown-warning-option",
]
# Matches every name that a line in an anonymous namespace may declare. False matches only make batches smaller.
DECLARED = re.compile(r"(?<![:\w])([A-Za-z_]\w*)\s*(?=\(|\{|=|;|\[)|\b(?:class|struct|enum|concept)\s+([A-Za-z_]\w*)")
MACRO = re.compile(r"^\s*#\s*define\s+(\w+)", re.MULTILINE)
ALIAS = re.compile(r"^\s*(?:namespace|using)\s+(\w+)\s*=\s*([^;]+);", re.MULTILINE)
ANONYMOUS = re.compile(r"^(\s*)namespace \{$")


def private_names(text):
    """Returns the names with internal linkage, and the macros, that a source declares, and `main`."""
    names = {"main"} if re.search(r"^int main\(", text, re.MULTILINE) else set()
    lines = text.splitlines()
    i = 0
    while i < len(lines):
        start = ANONYMOUS.match(lines[i])
        i += 1
        if not start:
            continue
        closing = start.group(1) + "}"
        # All declarations of the namespace have the indentation of the first one.
        member_indentation = None
        while i < len(lines) and lines[i] != closing:
            line = lines[i]
            i += 1
            if not line.strip():
                continue
            indentation = len(line) - len(line.lstrip())
            if member_indentation is None:
                member_indentation = indentation
            if indentation == member_indentation and not line.lstrip().startswith(("using ", "namespace ")):
                names.update(match.group(1) or match.group(2) for match in DECLARED.finditer(line))
    # Names in capitals are macro calls, whose expansions declare names that contain the line number and so differ.
    return {name for name in names if not name.isupper()} | set(MACRO.findall(text))


class Source:
    """A source with its compile command and its private names."""

    def __init__(self, path, command, includes):
        self.path = path
        self.command = command
        self.includes = includes
        self.text = Path(path).read_text(encoding="utf-8")
        self.names = private_names(self.text)
        self.aliases = dict(ALIAS.findall(self.text))


class Batch:
    """Sources that can be compiled in one translation unit."""

    def __init__(self):
        self.sources = []
        self.names = set()
        self.aliases = {}

    def accepts(self, source):
        """Returns True if the batch has room and none of the source's names conflicts with its names."""
        if len(self.sources) >= MAX_SOURCES_PER_BATCH or self.names & source.names:
            return False
        return all(self.aliases.get(name, target) == target for name, target in source.aliases.items())

    def add(self, source):
        self.sources.append(source)
        self.names |= source.names
        self.aliases.update(source.aliases)


def command_of(entry):
    """Returns the arguments that all sources of a batch must have in common, and the include folders, which may differ."""
    words = iter(shlex.split(entry["command"]))
    shared = []
    includes = []
    for word in words:
        if word in ("-o", "-MF", "-MT"):
            next(words)
        elif word == "-isystem":
            includes.append((word, next(words)))
        elif word.startswith("-I"):
            includes.append((word,))
        elif word not in ("-c", "-MD", entry["file"]):
            shared.append(word)
    return tuple(shared), includes


def read_sources(build, paths):
    commands = {}
    for entry in json.loads((build / "compile_commands.json").read_text(encoding="utf-8")):
        commands.setdefault(os.path.realpath(entry["file"]), entry)
    sources = []
    for path in paths:
        entry = commands.get(os.path.realpath(path))
        sources.append(Source(path, *(command_of(entry) if entry else (None, []))))
    return sources


def make_batches(sources):
    """Returns batches, filled with the sources with the most private names first, and the sources that no target builds."""
    groups = {}
    alone = []
    for source in sorted(sources, key=lambda it: -len(it.names)):
        if source.command is None:
            alone.append(source)
            continue
        batches = groups.setdefault(source.command, [])
        batch = next((it for it in batches if it.accepts(source)), None)
        if batch is None:
            batch = Batch()
            batches.append(batch)
        batch.add(source)
    return [batch for batches in groups.values() for batch in batches], alone


def write_batches(folder, batches):
    folder.mkdir(parents=True, exist_ok=True)
    entries = []
    files = []
    for i, batch in enumerate(batches):
        file = folder / f"batch{i}.cpp"
        file.write_text("\n".join(source.text for source in batch.sources) + "\n", encoding="utf-8")
        folders = sorted({os.path.dirname(os.path.realpath(source.path)) for source in batch.sources})
        includes = dict.fromkeys(include for source in batch.sources for include in source.includes)
        words = [*batch.sources[0].command, *(word for include in includes for word in include)]
        words += [*(word for source_folder in folders for word in ("-iquote", source_folder)), "-c", str(file.resolve())]
        entries.append({"directory": os.getcwd(), "arguments": words, "file": str(file.resolve())})
        files.append(file)
    (folder / "compile_commands.json").write_text(json.dumps(entries), encoding="utf-8")
    return files


def check(build, file):
    return subprocess.run([*CLANG_TIDY, "-p", str(build), str(file)], capture_output=True, text=True, check=False)


def check_alone(build, path, log):
    result = check(build, path)
    log.write(result.stderr)
    if result.returncode != 0:
        print(result.stdout, end="", flush=True)
    return result.returncode == 0


def main():
    build = Path(sys.argv[1])
    jobs = int(sys.argv[2])
    batches, alone = make_batches(read_sources(build, sys.argv[3:]))
    # Outside the project, so that tools that scan its sources don't find the generated files.
    temporary = tempfile.TemporaryDirectory(prefix="lint-batches-")
    folder = Path(temporary.name)
    files = write_batches(folder, batches)
    (folder / ".clang-tidy").write_text(Path(".clang-tidy").read_text(encoding="utf-8"), encoding="utf-8")
    is_clean = True
    with open(build / "clang-tidy.log", "w", encoding="utf-8") as log, concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        runs = {pool.submit(check, folder, file): batch for file, batch in zip(files, batches)}
        single = {pool.submit(check_alone, build, source.path, log): source for source in alone}
        for run in concurrent.futures.as_completed(list(runs)):
            result = run.result()
            if result.returncode == 0 and "error:" not in result.stdout:
                continue
            batch = runs[run]
            log.write(f"{len(batch.sources)} sources checked again one by one:\n{result.stdout}\n{result.stderr}\n")
            for source in batch.sources:
                single[pool.submit(check_alone, build, source.path, log)] = source
        for run in concurrent.futures.as_completed(list(single)):
            is_clean = run.result() and is_clean
    print(f"{len(sys.argv) - 3} sources in {len(batches)} batches, {len(single)} checked one by one")
    return 0 if is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
