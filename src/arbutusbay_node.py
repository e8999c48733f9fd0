"""Start the daemon of one VM from a checkout, without installing it."""

from arbutusbay.node import main

raise SystemExit(main())
