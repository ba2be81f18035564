#!/usr/bin/env bash
# Checks formatting of every source and lints those that take no time; needs a build folder with compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files '*.cpp' '*.h' | grep -vE '\.pb\.(h|cc)$')
clang-format --dry-run -Werror "${sources[@]}"
echo "clang-format: ${#sources[@]} files clean"

mapfile -t linted < <(git ls-files 'src/libradishswitch/*.cpp')
printf '%s\n' "${linted[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
echo "clang-tidy: ${#linted[@]} files clean"
