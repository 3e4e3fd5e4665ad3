"""Starts one controller, from a checkout or from the copy that the build creates.

The build compiles its copy of the sources, `target/app`, and the libraries in `target/deps` to
bytecode, because compiling the sources at each start took a third of the start's CPU time.
"""

import gc
import os
import sys

# Importing modules produces hardly any garbage, and garbage collection during the imports took a
# tenth of the start's CPU time. `configure_memory` enables the collector again.
gc.disable()

ROOT = os.path.dirname(os.path.abspath(__file__))
DEPS = [os.path.join(ROOT, "target", "deps"), os.path.join(os.path.dirname(ROOT), "deps")]
sys.path[:0] = [os.path.join(ROOT, "src"), *filter(os.path.isdir, DEPS)]

from dapplewick.controller.startup import start  # noqa: E402

if __name__ == "__main__":
    sys.exit(start(sys.argv[1:]))
