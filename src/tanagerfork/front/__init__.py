"""HTTP listeners for callers and operators, and the request paths behind them."""
