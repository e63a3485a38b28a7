"""Tests of scripts/lint_batches.py: clang-tidy reports the same findings for a source in a batch as for the source alone."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))

import lint_batches  # noqa: E402

CLEAN = """#include <string>

namespace chiveshelf {

namespace {

    constexpr int limit = %d;

}

int %s(const std::string& text)
{
    return text.size() > limit ? 1 : 0;
}

}
"""

# A fault per group of checks, by the name of the check that reports it.
FAULTS = {
    "readability-identifier-naming": "int Wrong_name() { return 1; }",
    "bugprone-branch-clone": "int clone(int n) { if (n == 1) { return 2; } else { return 2; } }",
    "clang-analyzer-core.NullDereference": "int dereference() { int* p = nullptr; return *p; }",
    "performance-for-range-copy": "int copy(const std::vector<std::string>& texts) { int n = 0; for (const auto text : texts) n += text.size() > 3 ? 1 : 0; return n; }",
    "readability-container-size-empty": "bool isEmpty(const std::string& text) { return text.size() == 0; }",
}


class LintBatchesTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = Path(self.folder.name)
        (self.path / ".clang-tidy").write_text((ROOT / ".clang-tidy").read_text(encoding="utf-8"), encoding="utf-8")

    def write(self, sources):
        entries = []
        for name, text in sources.items():
            file = self.path / name
            file.write_text(text, encoding="utf-8")
            entries.append({"directory": str(self.path), "file": str(file), "command": f"c++ -std=c++20 -c {file} -o {file}.o"})
        (self.path / "compile_commands.json").write_text(json.dumps(entries), encoding="utf-8")
        return [str(self.path / name) for name in sources]

    def lint(self, sources):
        files = self.write(sources)
        command = [sys.executable, str(ROOT / "scripts/lint_batches.py"), str(self.path), "2", *files]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)

    def test_batch_with_faults_reports_each_fault_with_its_file(self):
        faulty = "#include <string>\n#include <vector>\n\n" + "\n".join(FAULTS.values()) + "\n"
        result = self.lint({"A.cpp": CLEAN % (1, "first"), "B.cpp": faulty, "C.cpp": CLEAN % (2, "second")})
        self.assertEqual(1, result.returncode, result.stdout)
        for check in FAULTS:
            self.assertIn(check, result.stdout)
        self.assertIn("B.cpp:4:5", result.stdout)

    def test_clean_sources_are_checked_in_one_batch(self):
        result = self.lint({"A.cpp": CLEAN % (1, "first"), "B.cpp": (CLEAN % (2, "second")).replace("limit", "bound")})
        self.assertEqual(0, result.returncode, result.stdout)
        self.assertIn("2 sources in 1 batches, 0 checked one by one", result.stdout)

    def test_sources_with_same_private_name_are_in_different_batches(self):
        result = self.lint({"A.cpp": CLEAN % (1, "first"), "B.cpp": CLEAN % (2, "second")})
        self.assertEqual(0, result.returncode, result.stdout)
        self.assertIn("2 sources in 2 batches", result.stdout)

    def test_batch_that_does_not_compile_is_checked_source_by_source(self):
        # The names conflict, but private_names() does not detect it, since they are not in an anonymous namespace.
        sources = {name: "static int hidden() { return 1; }\nint %s() { return hidden(); }\n" % call for name, call in (("A.cpp", "first"), ("B.cpp", "second"))}
        result = self.lint(sources)
        self.assertEqual(0, result.returncode, result.stdout)
        self.assertIn("2 sources in 1 batches, 2 checked one by one", result.stdout)

    def test_private_names_of_indented_and_unindented_namespaces_are_found(self):
        self.assertEqual({"limit"}, lint_batches.private_names("namespace {\n    constexpr int limit = 1;\n\n    // x\n}\n"))
        self.assertEqual({"limit", "f"}, lint_batches.private_names("namespace {\n\nconst int limit = 1;\nint f()\n{\n    int n = 2;\n}\n\n}\n"))


if __name__ == "__main__":
    unittest.main()
