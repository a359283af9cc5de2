#!/usr/bin/env bash
# Prepares the stand-ins of review/lib. They are plain JavaScript without dependencies, so only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.js */scenario.js; do
	node --check "$file"
done
