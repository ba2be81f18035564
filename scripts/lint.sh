#!/usr/bin/env bash
# Checks the formatting of every source and runs clang-tidy over the core; needs a build folder with compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files '*.cpp' '*.h' | grep -vE '\.pb\.(h|cc)$')
clang-format --dry-run -Werror "${sources[@]}"
echo "clang-format: ${#sources[@]} files clean"

# clang-tidy 14 takes the literal 0 against which a defaulted <=> compares for a null pointer, and has no option to leave
# it be. That one finding, on the line of a defaulted <=>, is taken out; everything else that it says is an error.
without_defaulted_comparisons()
{
    awk '
        held != "" {
            if ($0 ~ /operator<=>\(const [A-Za-z]+ &\) const = default;$/) {
                held = ""
                hides = 1
                next
            }
            print held
            held = ""
        }
        /: (error|warning): / {
            hides = 0
            if ($0 ~ /\[modernize-use-nullptr[],]/) {
                held = $0
                next
            }
        }
        !hides { print }
        END { if (held != "") print held }'
}

findings=$(mktemp)
complaints=$(mktemp)
trap 'rm -f "$findings" "$complaints"' EXIT

mapfile -t linted < <(git ls-files 'src/libradishswitch/*.cpp')
status=0
printf '%s\n' "${linted[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet >"$findings" 2>"$complaints" || status=$?
# 123 is a finding, which the output shows; anything else above 0 is a clang-tidy that could not do its work.
if [ $status -ne 0 ] && { [ $status -ne 123 ] || [ ! -s "$findings" ]; }; then
    cat "$findings" "$complaints" >&2
    exit 1
fi
without_defaulted_comparisons <"$findings" >"$complaints"
if [ -s "$complaints" ]; then
    cat "$complaints" >&2
    exit 1
fi
echo "clang-tidy: ${#linted[@]} files clean"
