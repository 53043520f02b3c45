#!/usr/bin/env bash
# Installs what the build needs on a fresh Debian 12 machine; does nothing where all of it is there.
set -euo pipefail
packages=(g++ clang clang-format clang-tidy cmake ninja-build ccache curl python3 git
    libboost1.81-dev libboost-log1.81-dev libboost-thread1.81-dev libboost-filesystem1.81-dev libwebsocketpp-dev nlohmann-json3-dev
    librapidcheck-dev libxxhash-dev libssl-dev openssl libgtest-dev libgmock-dev libbenchmark-dev libclang-rt-14-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
echo "installing: ${missing[*]}"
sudo_command=""
[ "$(id -u)" -eq 0 ] || sudo_command="sudo"
$sudo_command apt-get update -q >/dev/null
DEBIAN_FRONTEND=noninteractive $sudo_command apt-get install -y -q --no-install-recommends "${missing[@]}" >/dev/null
