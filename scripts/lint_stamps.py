#!/usr/bin/env python3
"""Prints "STAMP FILE" for each source named on the command line; a stamp changes with the source, the project headers it includes, and .clang-tidy.

The includes come from the dependencies that ninja recorded; a source that was not built counts all headers of the project as included.
"""
import hashlib
import pathlib
import subprocess
import sys

BUILD = pathlib.Path("build/release")


def headers_by_source(root):
    """Returns, for each built source, the project headers it includes."""
    text = subprocess.run(["ninja", "-C", str(BUILD), "-t", "deps"], capture_output=True, text=True, check=False).stdout
    found = {}
    for block in text.split("\n\n"):
        files = [(BUILD / line.strip()).resolve() for line in block.splitlines()[1:]]
        inside = [str(file.relative_to(root)) for file in files if root in file.parents and BUILD.resolve() not in file.parents]
        for source in (name for name in inside if name.endswith(".cpp")):
            found[source] = sorted(name for name in inside if name.endswith(".h"))
    return found


def main():
    root = pathlib.Path.cwd().resolve()
    includes = headers_by_source(root)
    every_header = subprocess.run(["git", "ls-files", "-co", "--exclude-standard", "*.h"], capture_output=True, text=True, check=True).stdout.split()
    digests = {}

    def digest(name):
        if name not in digests:
            path = root / name
            digests[name] = hashlib.sha256(path.read_bytes()).digest() if path.exists() else b""
        return digests[name]

    for source in sys.argv[1:]:
        stamp = hashlib.sha256()
        for name in [".clang-tidy", source] + includes.get(source, sorted(every_header)):
            stamp.update(digest(name))
        print(stamp.hexdigest()[:40], source)


if __name__ == "__main__":
    main()
