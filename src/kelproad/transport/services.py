"""The base of the services that run inside an instance."""

from mode import Service

__all__ = ['BackgroundService']


class BackgroundService(Service):
    """A service whose starting and stopping is no change of state to log."""

    abstract = True
    mundane_level = 'debug'
