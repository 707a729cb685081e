# Puts the libraries and the project's packages under target/deps.
set -eu
[ target/deps -nt deploy/requirements.txt ] || python3 -m pip install --quiet --disable-pip-version-check --upgrade --target target/deps --require-hashes -r deploy/requirements.txt
# The project's packages are copied anew on each build, whatever changed.
for package in packages/core packages/entry platform; do
  cp -R "$package"/src/* target/deps/
done
# Compiled here, as a process may be unable to write compiled files.
find target/deps -maxdepth 1 -name 'sapphirestall_*' -exec python3 -m compileall -q -f --invalidation-mode unchecked-hash {} +
touch target/deps
