#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec node scenario.js
