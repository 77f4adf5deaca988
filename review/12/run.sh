#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/samphiremill.mjs ] && [ -f target/review-3/late-start-behind-cut.mjs ] || exit 2
exec node target/review-3/late-start-behind-cut.mjs review/12/record.txt
