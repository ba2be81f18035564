#!/usr/bin/env bash
# No tracked file names a folder of somebody's machine. Scripts may use /tmp; the brackets keep this file out.
set -euo pipefail
cd "$(dirname "$0")/../.."

status=0
git grep -nIE '(^|[^A-Za-z0-9_.-])/(wor[k]|hom[e]|roo[t])/' && status=1
git grep -nIE '(^|[^A-Za-z0-9_.-])/tm[p]/' -- ':!scripts' && status=1
if [ $status -ne 0 ]; then
    echo "paths: the lines above name a machine's own folders" >&2
    exit 1
fi
echo "paths: clean"
