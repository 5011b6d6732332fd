"""glenfold: a relay for long-lived line connections, round the decisions of linnetspread."""
