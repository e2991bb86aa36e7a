"""wickgw: the decisions of a dispatcher that pushes jobs to workers."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wickgw.balance import Balancer

__all__ = ["Balancer"]


def __getattr__(name: str) -> Any:
    """The decisions, and the numerics that they need, once somebody asks for them."""
    if name == "Balancer":
        from wickgw.balance import Balancer

        return Balancer
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
