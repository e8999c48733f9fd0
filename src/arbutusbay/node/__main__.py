"""Run the daemon as a module."""

from arbutusbay.node import main

raise SystemExit(main())
