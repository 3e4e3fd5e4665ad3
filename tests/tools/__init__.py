"""Tools that developers run by hand: comparisons, soak runs, test data and measurements."""
