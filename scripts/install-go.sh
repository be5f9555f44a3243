#!/usr/bin/env bash
# Installs Go on a Debian machine that has none: a Go of Debian's backports, which fetches the release that we build
# with from the module proxy. Does nothing where go is there.
set -euo pipefail

release=go1.26.8
bootstrap=1.23
suite=bookworm-backports

command -v go >/dev/null && exit 0

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
chmod 755 "$work"
mkdir -p "$work/sources" "$work/lists/partial"
keyring=/usr/share/keyrings/debian-archive-keyring.gpg
echo "deb [signed-by=$keyring] http://deb.debian.org/debian $suite main" >"$work/sources/backports.list"

apt() {
  apt-get -q -o Dir::Etc::sourcelist=/dev/null -o Dir::Etc::sourceparts="$work/sources" \
    -o Dir::State::lists="$work/lists" "$@"
}
apt update
apt install -y --no-install-recommends "golang-$bootstrap-go"
ln -s "/usr/lib/go-$bootstrap/bin/go" "/usr/lib/go-$bootstrap/bin/gofmt" /usr/local/bin/
go env -w GOTOOLCHAIN="$release"
go version
