"""kelproad: a serving layer between callers and model engines.

The package is layered; each layer imports only from those below it::

    cli  ->  platform  ->  coordination, standins  ->  protocol  ->  transport
    ->  state

``state`` holds data structures and decision logic and does no input or output.
``transport`` sends and receives bytes.  ``protocol`` parses and validates them
into typed messages and files.  ``coordination`` handles calls and coordinates
instances.  ``platform`` adapts an instance to the platform's settings file,
row store and header fields.  ``standins`` are small substitutes for external
systems, for demos and tests.
"""

__all__ = ['__version__']

__version__ = '0.1.0'
