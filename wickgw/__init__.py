"""wickgw: a job dispatcher that chooses a worker for each request by learned drain rates."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wickgw.balance import Balancer

__all__ = ["Balancer"]


def __getattr__(name: str) -> Any:
    """Import Balancer, and numpy with it, at its first use."""
    if name == "Balancer":
        from wickgw.balance import Balancer

        return Balancer
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
