#!/usr/bin/env bash
# Installs missing build and lint dependencies with Debian's package manager.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config clang-format clang-tidy curl libasio-dev
  libflatbuffers-dev libcpp-httplib-dev libyaml-cpp-dev libcli11-dev libspdlog-dev
  libboost-dev catch2 nlohmann-json3-dev libxxhash-dev tzdata)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends "${missing[@]}"
