#!/usr/bin/env bash
# Mutation tests. Each patch in proofs/ disables one mechanism; its first line names a
# package and a test. The test must fail in a scratch copy with the patch applied, and
# pass without it. Arguments select patches; default: all.
set -u
cd "$(dirname "$0")/.."
root=$PWD
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
patches=("$@")
[ "${#patches[@]}" -gt 0 ] || patches=(proofs/*.patch)
passed=0
failed=0
declare -A unpatched_passes # by package and test
for patch in "${patches[@]}"; do
  patch=${patch#proofs/}
  name=${patch%.patch}
  read -r _ package test <"proofs/$name.patch"
  if [ -z "${unpatched_passes[$package $test]:-}" ]; then
    go test -count=1 -run "$test" "$package" >"$scratch/unpatched.log" 2>&1 && unpatched_passes[$package $test]=yes || unpatched_passes[$package $test]=no
  fi
  rm -rf "$scratch/tree" && mkdir "$scratch/tree"
  git ls-files -co --exclude-standard | tar cf - -T - | tar xf - -C "$scratch/tree"
  patched_result=passes
  failure=""
  if ! (cd "$scratch/tree" && git apply --unsafe-paths --directory="" "$root/proofs/$name.patch") 2>"$scratch/apply.log"; then
    patched_result="patch doesn't apply"
  elif ! (cd "$scratch/tree" && go vet "$package" && go build ./...) >"$scratch/patched.log" 2>&1; then
    patched_result="patched tree doesn't build"
  elif ! (cd "$scratch/tree" && go test -count=1 -run "$test" "$package" -timeout 5m) >"$scratch/patched.log" 2>&1; then
    patched_result=fails
    failure=$(grep -vE '\[rapid\] draw|^---|^ *(To reproduce|Failed test)|^FAIL|^ok' "$scratch/patched.log" | sed 's/^ *//' | head -1 | cut -c1-180)
  fi
  printf '%-24s off: %-8s on: %-4s %s\n' "$name" "$patched_result" "${unpatched_passes[$package $test]}" "$failure"
  if [ "$patched_result" = fails ] && [ "${unpatched_passes[$package $test]}" = yes ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
