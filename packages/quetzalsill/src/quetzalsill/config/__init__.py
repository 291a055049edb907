"""The shared configuration: model, validation and distribution."""
