#!/bin/sh
# Builds the stand-ins of the second review's cases into target/review-2. Run it in the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
npx --no-install esbuild review/stand-ins-2/case-*.js --bundle --platform=node --format=esm --target=node22 --out-extension:.js=.mjs --outdir=target/review-2 --log-level=warning
