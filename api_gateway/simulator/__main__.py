"""Entry point of `python -m api_gateway.simulator`: runs gateways for a simulator on standard input."""

import sys

from api_gateway.simulator.adapter import main

if __name__ == "__main__":
    sys.exit(main())
