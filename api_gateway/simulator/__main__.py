"""`python -m api_gateway.simulator`: serve the simulator's wire on standard input and output."""

import sys

from api_gateway.simulator.adapter import main

if __name__ == "__main__":
    sys.exit(main())
