"""Base class of the services that run inside an instance."""

from mode import Service

__all__ = ['BackgroundService']


class BackgroundService(Service):
    """A service that logs its start and stop at level DEBUG only."""

    abstract = True
    mundane_level = 'debug'
