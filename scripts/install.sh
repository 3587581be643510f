#!/usr/bin/env bash
# Installs what the build needs, from Debian's packages.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
xargs -a "$here/packages.txt" apt-get install -y -qq --no-install-recommends >/dev/null
