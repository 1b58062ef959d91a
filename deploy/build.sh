# Installs the dependencies declared in pyproject.toml into target/deps, unless it is up to date.
# It also compiles the package, which daemons cannot do since they may not write to this folder.
set -eu
python3 -m compileall -q --invalidation-mode checked-hash marigoldwalk
[ target/deps -nt pyproject.toml ] && exit 0
mkdir -p target
python3 - > target/requirements.txt <<'PYTHON'
import tomllib

with open("pyproject.toml", "rb") as file:
    print(*tomllib.load(file)["project"]["dependencies"], sep="\n")
PYTHON
python3 -m pip install -q -U --target target/deps -r target/requirements.txt
touch target/deps
