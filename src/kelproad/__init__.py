"""kelproad: a serving layer between callers and model engines.

The package is layered; each layer imports only those below it::

    cli  ->  coordination, standins  ->  protocol  ->  transport  ->  state

``state`` holds records and tables and does no input or output.
``transport`` moves bytes.  ``protocol`` gives the bytes types.
``coordination`` decides and acts.  ``standins`` are small substitutes for the
outside systems, for demos and tests.
"""

__all__ = ['__version__']

__version__ = '0.1.0'
