#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
xargs -a "$here/packages.txt" apt-get install -y -qq --no-install-recommends >/dev/null
