"""Checks that every test named as `Suite.Test` on a page exists in a test program.

  python3 tests/check_pages.py BUILD PAGE...
"""

import glob
import os
import re
import subprocess
import sys


def existing_tests(build):
    """Returns the name Suite.Test of every test, without instantiation prefixes and parameters."""
    found = set()
    environment = {k: v for k, v in os.environ.items() if k != "GTEST_FILTER"}
    for program in glob.glob(os.path.join(build, "tests", "test_*")):
        if not os.access(program, os.X_OK) or os.path.isdir(program):
            continue
        listed = subprocess.run([program, "--gtest_list_tests"], capture_output=True, text=True,
                                check=True, env=environment).stdout
        suite = ""
        for line in listed.splitlines():
            line = line.split("#")[0].rstrip()
            if line.startswith("  "):
                found.add("%s.%s" % (suite, line.strip().split("/")[0]))
            elif line.endswith("."):
                suite = line[:-1].split("/")[-1]
    return found


def main():
    build, pages = sys.argv[1], sys.argv[2:]
    tests = existing_tests(build)
    missing = []
    for page in pages:
        with open(page, encoding="utf-8") as lines:
            for number, line in enumerate(lines, 1):
                for name in re.findall(r"`([A-Za-z]+\.[A-Z][A-Za-z0-9]+)`", line):
                    if name not in tests:
                        missing.append("%s:%d: no test %s" % (page, number, name))
    for each in missing:
        print(each)
    print("%d tests known, %d missing" % (len(tests), len(missing)))
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
