"""Tests of the exchange between gateways."""
