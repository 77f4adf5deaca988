#!/usr/bin/env bash
# The stand-ins are plain modules, so building them is a check that they can be loaded, beside the platform's bundle.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent --no-audit --no-fund
node scripts/build-platform.js
for file in review/stand-ins/*.js review/[1-5]/*.js; do
	node --check "$file"
done
