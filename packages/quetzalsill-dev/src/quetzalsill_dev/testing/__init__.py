"""Runner of the test suite."""
