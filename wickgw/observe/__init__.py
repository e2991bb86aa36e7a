"""What operators see: structured logging."""
