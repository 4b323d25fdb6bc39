"""``kelproad stand-in``: run substitutes for external systems.

Each runs in a process of its own.
"""

import asyncio
import pathlib
import signal
from typing import Annotated

import typer

__all__ = ['app']

app = typer.Typer(no_args_is_help=True)
AddressOption = Annotated[str, typer.Option(help='IP:port to listen on.')]


@app.command()
def platform(
    address: AddressOption,
    lag: Annotated[
        float,
        typer.Option(help='Seconds by which the list of instances lags.'),
    ] = 1.0,
) -> None:
    """Stand in for the platform: tables, objects, list of instances."""
    from ..standins.platform import PlatformStandIn

    _run(PlatformStandIn(lag=lag).create_application(), address)


@app.command()
def engine(
    address: AddressOption,
    model: Annotated[list[str], typer.Option(help='Model served.')],
    settings: Annotated[
        pathlib.Path | None,
        typer.Option(help='YAML file with the rates and sizes.'),
    ] = None,
) -> None:
    """Stand in for a model engine."""
    from ..standins.engine import EngineSettings, EngineStandIn

    chosen = EngineSettings.from_file(settings)
    _run(EngineStandIn(chosen, model).create_application(), address)


@app.command()
def service(address: AddressOption) -> None:
    """Stand in for a plain service that counts its effects."""
    from ..standins.service import ServiceStandIn

    _run(ServiceStandIn().create_application(), address)


@app.command()
def store(address: AddressOption) -> None:
    """Stand in for the platform's row store."""
    from ..standins.rowstore import RowStoreStandIn

    _run(RowStoreStandIn().create_application(), address)


@app.command()
def endpoint(
    address: AddressOption,
    name: Annotated[str, typer.Option(help='Id it lists itself with.')],
    born: Annotated[
        int, typer.Option(help='Unix millisecond of its start that it states.')
    ] = 1,
) -> None:
    """Stand in for an endpoint behind routes, engine or plain service."""
    from ..standins.routed import RoutedEndpointStandIn

    application = RoutedEndpointStandIn(name, born).create_application()
    _run(application, address, decode_bodies=False)


@app.command()
def network(
    address: AddressOption,
    zone: Annotated[
        list[str],
        typer.Option(help='NAME=PREFIX of the IP numbers of a zone.'),
    ],
) -> None:
    """Stand in for the network between zones; ADDRESS serves its controls."""
    from ..standins.network import NetworkStandIn

    zones = dict(item.split('=', 1) for item in zone)
    _run(NetworkStandIn(zones).create_application(), address)


def _run(
    application: object,
    address: str,
    decode_bodies: bool = True,
) -> None:
    asyncio.run(_serve(application, address, decode_bodies))


async def _serve(
    application: object,
    address: str,
    decode_bodies: bool,
) -> None:
    from ..transport.addresses import Address
    from ..transport.servers import HttpServer

    server = HttpServer(
        application,
        Address.from_text(address),
        decode_bodies=decode_bodies,
    )
    await server.start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await server.stop()
