#!/usr/bin/env bash
# Bundles the stand-ins of the third review into target/review-3, where the scripts of its cases start them.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/stand-ins-3/*-*.js; do
	npx --no-install esbuild "$source" --bundle --platform=node --format=esm --log-level=warning --outfile="target/review-3/$(basename "${source%.js}").mjs"
done
