"""The request that the running task works for, for logs and reports."""

import contextvars

__all__ = ['current_request']

#: Id of the request whose task is running, empty outside of one.  A task
#: inherits it from the task that starts it.
current_request: contextvars.ContextVar[str] = contextvars.ContextVar(
    'current_request',
    default='',
)
