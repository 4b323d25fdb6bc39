"""Stand-ins: small substitutes for external systems, for demos and tests.

They implement the protocols of the real systems as far as instances use them,
and have control paths that inject faults.  Instances never import them.
"""
