#!/usr/bin/env bash
# On a fresh Debian machine, as root: installs the packages, builds, and runs the
# demo on a small fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
scripts/demo.sh
