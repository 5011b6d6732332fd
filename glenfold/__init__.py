"""glenfold: a relay for long-lived line connections, built on the decisions of linnetspread."""

__version__ = "0.2.0"
