#!/usr/bin/env bash
# Every script can be parsed.
set -euo pipefail
cd "$(dirname "$0")/../.."

mapfile -t files < <(git ls-files 'scripts/*.sh' 'scripts/**/*.sh' '.ci/run' | sort -u)
status=0
for file in "${files[@]}"; do
    bash -n "$file" || status=1
done
[ $status -eq 0 ] || exit 1
echo "shell: ${#files[@]} scripts can be parsed"
