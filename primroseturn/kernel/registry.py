"""Registry of the factories of kernel services, filled by the `service` decorator."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Any, NamedTuple, TypeVar

Factory = Callable[[Any], AbstractAsyncContextManager[Any]]
F = TypeVar("F", bound=Factory)


class ServiceEntry(NamedTuple):
    """A registered factory and the names of the kernel services that it needs."""

    name: str
    needs: tuple[str, ...]
    factory: Factory


entries_by_name: dict[str, ServiceEntry] = {}


def service(name: str, needs: tuple[str, ...] = ()) -> Callable[[F], F]:
    """Register the decorated context manager as the factory of a kernel service.

    Parameters
    ----------
    name
        Name under which other services find this one.
    needs
        Names of the services that must run before this one starts.
    """

    def register(factory: F) -> F:
        entries_by_name[name] = ServiceEntry(name, needs, factory)
        return factory

    return register
