"""Start one controller from a checkout, with the libraries built into target/deps."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from dapplewick.service import start  # noqa: E402

if __name__ == "__main__":
    sys.exit(start(sys.argv[1:]))
