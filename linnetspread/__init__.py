"""linnetspread: the placement decisions of a load balancer for long-lived connections."""

from linnetspread.choice import Balancer

__all__ = ["Balancer"]
