"""Small substitutes for the outside systems, for demos and tests.

They keep to the protocols of the real ones as far as the system uses them,
and have switches that bring failures about.  Nothing of them is used when
serving.
"""
