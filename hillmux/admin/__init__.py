"""What operators ask of a running gateway: metrics, readiness, and hosts that they disable."""
