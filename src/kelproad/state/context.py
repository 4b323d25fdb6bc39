"""Which request the running task works for, for log lines and reports."""

import contextvars

__all__ = ['current_request']

#: Id of the request in whose task the code runs, empty outside of one.  A task
#: started from another inherits it.
current_request: contextvars.ContextVar[str] = contextvars.ContextVar(
    'current_request',
    default='',
)
