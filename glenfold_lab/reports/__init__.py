"""Reports on results: an HTML page and its figures as JSON. Nothing here plays or judges histories."""
