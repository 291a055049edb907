"""Order and admission of what waits for the upstream."""
