"""Order and admission of attempts that wait for the upstream."""
