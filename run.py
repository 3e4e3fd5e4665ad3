"""Start one controller, from a checkout or from the copy that the build makes of it.

The build compiles that copy, `target/app`, and the libraries beside it in `target/deps`: reading
the sources anew took a third of a start's processor time.
"""

import gc
import os
import sys

# While modules are loaded nothing becomes garbage, and looking for some took a tenth of a start's
# processor time; `configure_memory` switches the collector on again.
gc.disable()

ROOT = os.path.dirname(os.path.abspath(__file__))
DEPS = [os.path.join(ROOT, "target", "deps"), os.path.join(os.path.dirname(ROOT), "deps")]
sys.path[:0] = [os.path.join(ROOT, "src"), *filter(os.path.isdir, DEPS)]

from dapplewick.controller.startup import start  # noqa: E402

if __name__ == "__main__":
    sys.exit(start(sys.argv[1:]))
