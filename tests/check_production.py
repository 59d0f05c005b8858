"""Checks that the version in production holds the fixes of former incidents.

  python3 tests/check_production.py [--production COMMIT]

Reads `production` of deploy/system.toml and deploy/required-fixes.txt. The commit must be one that this
version descends from, its tree must hold each required regression test (and not list it as red), and the
bytes of its messages must be kept in tests/message_versions. A test in that commit's tree shows its fix,
since all tests pass on each commit of the main branch. Where the history lacks the commit, as in a shallow
clone, the check fails: a pass would claim what nobody has looked at.
"""

import argparse
import io
import os
import re
import subprocess
import sys
import tarfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TESTS = re.compile(r"\b(?:TEST(?:_F|_P)?|RC_GTEST_(?:FIXTURE_)?PROP)\s*\(\s*(\w+)\s*,\s*(\w+)")
TEST_NAME = re.compile(r"\w+\.\w+(/\w+\.\w+)*$")  # A test that was renamed has all its names.
MIN_REASON = 10  # Characters.


def git(*words):
    return subprocess.run(["git", "-C", ROOT, *words], capture_output=True, check=False)


def read(path):
    with open(os.path.join(ROOT, path), encoding="utf-8") as file:
        return file.read()


def tests_in(text):
    return {"%s.%s" % found for found in TESTS.findall(text)}


def tests_of_tree():
    found = set()
    for folder, _, names in os.walk(os.path.join(ROOT, "tests")):
        for name in names:
            if name.endswith(".cpp"):
                found |= tests_in(read(os.path.join(folder, name)))
    return found


def tests_of_commit(commit):
    archive = git("archive", commit, "--", "tests")
    if archive.returncode:
        return set()
    found = set()
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tree:
        for member in tree.getmembers():
            if member.name.endswith(".cpp"):
                found |= tests_in(tree.extractfile(member).read().decode("utf-8"))
    return found


def red_tests_of_commit(commit):
    shown = git("show", commit + ":KNOWN-RED.txt")
    lines = shown.stdout.decode("utf-8").splitlines() if shown.returncode == 0 else []
    return {line.split("|")[0].split()[-1] for line in lines if line and not line.startswith("#")}


def read_required(problems):
    """Returns the required tests by page, and the pages whose fixes are to come."""
    required, pending = {}, []
    for number, line in enumerate(read("deploy/required-fixes.txt").splitlines(), 1):
        if not line or line.startswith("#"):
            continue
        page, _, rest = (part.strip() for part in line.partition("|"))
        where = "deploy/required-fixes.txt:%d: " % number
        if page in required:
            problems.append(where + "%s is there twice" % page)
        required[page] = []
        if rest == "pending":
            pending.append(page)
        elif rest.startswith("none "):
            if len(rest) < MIN_REASON:
                problems.append(where + "no reason")
        else:
            required[page] = rest.split()
            wrong = [name for name in required[page] if not TEST_NAME.match(name)]
            if wrong or not required[page]:
                problems.append(where + "expected tests, `pending`, or `none` and a reason")
    return required, pending


def is_among(name, tests):
    return any(each in tests for each in name.split("/"))


def check_list(required, problems):
    pages = {name for name in os.listdir(os.path.join(ROOT, "docs/incidents"))
             if name.endswith(".md")}
    problems += ["deploy/required-fixes.txt has no line for docs/incidents/%s" % page
                 for page in sorted(pages - set(required))]
    problems += ["deploy/required-fixes.txt: there is no docs/incidents/%s" % page
                 for page in sorted(set(required) - pages)]
    present = tests_of_tree()
    problems += ["%s, required for %s, is not among the tests of this version" % (name, page)
                 for page, names in required.items() for name in names if not is_among(name, present)]


def check_commit(commit, required, problems):
    if git("cat-file", "-e", commit + "^{commit}").returncode:
        problems.append("the history here lacks production = %s, so nothing was checked; get it with "
                        "`git fetch --unshallow`" % commit)
        return
    if git("merge-base", "--is-ancestor", commit, "HEAD").returncode:
        problems.append("production = %s is not among the commits before this one" % commit)
    held = tests_of_commit(commit) - red_tests_of_commit(commit)
    problems += ["production = %s lacks %s (docs/incidents/%s)" % (commit[:7], name, page)
                 for page, names in required.items() for name in names if not is_among(name, held)]
    if not os.path.isdir(os.path.join(ROOT, "tests/message_versions", commit[:7])):
        problems.append("tests/message_versions/%s with the bytes of production's messages is missing"
                        % commit[:7])


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--production", help="a full hash in place of the one in deploy/system.toml")
    parser.add_argument("--no-pending", action="store_true", help="fail where fixes are to come")
    options = parser.parse_args()
    named = re.search(r'^production = "([0-9a-f]{40})"$', read("deploy/system.toml"), re.M)
    commit = options.production or (named and named[1])
    problems = []
    required, pending = read_required(problems)
    check_list(required, problems)
    if commit:
        check_commit(commit, required, problems)
    else:
        problems.append("deploy/system.toml names no production by its full hash")
    for page in pending:
        print("PENDING: production does not have to hold the fixes of docs/incidents/%s yet" % page)
    if options.no_pending:
        problems += ["docs/incidents/%s is pending" % page for page in pending]
    for each in problems:
        print("FAILED:", each)
    print("%d required tests, %d problems" % (sum(map(len, required.values())), len(problems)))
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
