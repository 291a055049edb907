"""The shared configuration: its model, checker and distribution."""
