#!/usr/bin/env bash
# Every relative link of a page leads to a file, and so does every page named as docs/....md.
set -euo pipefail
cd "$(dirname "$0")/../.."

status=0
links=0
while IFS= read -r page; do
    while IFS= read -r target; do
        links=$((links + 1))
        if [ ! -e "$(dirname "$page")/$target" ]; then
            echo "links: $page leads to $target, which is not there" >&2
            status=1
        fi
    done < <(perl -ne 'while (/\]\(([^)#\s]+)/g) { print "$1\n" unless $1 =~ /^[a-z]+:/ }' "$page")
    while IFS= read -r target; do
        links=$((links + 1))
        if [ ! -e "$target" ]; then
            echo "links: $page names $target, which is not there" >&2
            status=1
        fi
    done < <(grep -oE '\bdocs/[A-Za-z0-9/_-]+\.md' "$page")
done < <(git ls-files '*.md')
[ $status -eq 0 ] || exit 1
echo "links: all $links lead somewhere"
