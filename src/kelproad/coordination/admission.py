"""Authentication, authorization and size checks before any work."""

import hmac
from collections.abc import Mapping

from returns.result import Failure, Result, Success

from ..protocol.callers import digest_key
from ..state.configuration import Snapshot
from ..state.declarations import EndpointGroup, Service, Workspace
from ..state.refusals import Refusal, RefusalCode, Step

__all__ = [
    'authenticate_operator',
    'authenticate_workspace',
    'check_size',
    'find_model',
    'find_service',
    'list_models',
]

#: Retry-After, in seconds; a starting instance is usually ready by then.
_STARTING_RETRY_AFTER = 2.0


def authenticate_workspace(
    snapshot: Snapshot,
    key: str,
) -> Result[Workspace, Refusal]:
    """Find the workspace that an API key belongs to."""
    if snapshot.revision == 0:
        return Failure(
            Refusal(
                RefusalCode.NOT_READY,
                'this instance has no configuration yet',
                Step.AUTHENTICATE,
                retry_after=_STARTING_RETRY_AFTER,
            ),
        )
    workspace = snapshot.workspaces_by_digest.get(digest_key(key))
    if workspace is None:
        return Failure(
            Refusal(
                RefusalCode.UNAUTHENTICATED,
                'no workspace has this API key',
                Step.AUTHENTICATE,
            ),
        )
    return Success(workspace)


def list_models(
    snapshot: Snapshot,
    key: str,
) -> Result[dict[str, Service], Refusal]:
    """List the models that the workspace of an API key may use."""
    return authenticate_workspace(snapshot, key).map(
        lambda workspace: {
            model: service
            for model, service in snapshot.models.items()
            if service.name in workspace.services
        },
    )


def authenticate_operator(
    digests: Mapping[str, str],
    token: str,
) -> Result[str, Refusal]:
    """Find the operator that a token belongs to."""
    presented = digest_key(token)
    for name, digest in digests.items():
        if hmac.compare_digest(presented, digest):
            return Success(name)
    return Failure(
        Refusal(
            RefusalCode.UNAUTHENTICATED,
            'no operator has this token',
            Step.AUTHENTICATE,
        ),
    )


def find_model(
    snapshot: Snapshot,
    workspace: Workspace,
    model: str,
) -> Result[Service, Refusal]:
    """Find the service that serves a model to a workspace."""
    return _permit(snapshot.models.get(model), workspace, f'model {model!r}')


def find_service(
    snapshot: Snapshot,
    workspace: Workspace,
    name: str,
) -> Result[Service, Refusal]:
    """Find a service by its name, if the workspace may use it."""
    return _permit(snapshot.services.get(name), workspace, f'service {name!r}')


def check_size(
    prompt_tokens: int,
    groups: list[EndpointGroup],
) -> Result[None, Refusal]:
    """Refuse a prompt that exceeds the memory of every endpoint."""
    largest = max((group.memory_tokens for group in groups), default=0)
    if prompt_tokens < largest:
        return Success(None)
    return Failure(
        Refusal(
            RefusalCode.TOO_LARGE,
            f'about {prompt_tokens} tokens; the largest prompt served here '
            f'has {largest - 1}',
            Step.ADMIT,
        ),
    )


def _permit(
    service: Service | None,
    workspace: Workspace,
    wanted: str,
) -> Result[Service, Refusal]:
    if service is None:
        return Failure(
            Refusal(
                RefusalCode.NOT_FOUND,
                f'there is no {wanted}',
                Step.ADMIT,
            ),
        )
    if service.name not in workspace.services:
        return Failure(
            Refusal(
                RefusalCode.FORBIDDEN,
                f'workspace {workspace.name!r} may not use {wanted}',
                Step.ADMIT,
            ),
        )
    return Success(service)
