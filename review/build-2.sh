#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are plain JavaScript without dependencies, so there is nothing to compile.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/case.mjs; do
	node --check "$file"
done
