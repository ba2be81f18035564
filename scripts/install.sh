#!/usr/bin/env bash
# Installs the packages that building and testing need, and does nothing where they are there already.
set -euo pipefail
cd "$(dirname "$0")"

missing=()
while read -r package; do
    if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q '^install ok installed$'; then
        missing+=("$package")
    fi
done < packages.txt

if [ ${#missing[@]} -gt 0 ]; then
    echo "installing: ${missing[*]}"
    sudo=""
    [ "$(id -u)" = 0 ] || sudo=sudo
    $sudo apt-get update -qq
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
