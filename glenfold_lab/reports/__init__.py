"""Results as one page to read and as figures to work with; nothing here plays or judges a history."""
