#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start, from a fresh clone: the program
# by the build line of deploy/system.toml. The stand-ins are Python and need no
# build; they are compiled here to see that they can run.
set -euo pipefail
cd "$(dirname "$0")/.."
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$line"
test -x target/bin/fireflysail
python3 - <<'CHECK'
import pathlib
import tomllib  # Python 3.11

assert tomllib
folders = ["support-3"] + [str(number) for number in range(11, 16)]
for folder in folders:
    for source in pathlib.Path("review", folder).glob("*.py"):
        compile(source.read_text(encoding="utf-8"), str(source), "exec")
CHECK
echo "stand-ins are ready"
