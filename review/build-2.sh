#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, from a fresh clone: the
# program by the build line of deploy/system.toml. Their stand-ins are Python.
set -euo pipefail
cd "$(dirname "$0")/.."
line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$line"
for file in scripts/platform_world.py scripts/local_fleet.py \
    review/small_deployment.py review/[678]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
