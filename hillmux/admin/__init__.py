"""What people on call ask of a gateway that serves: its figures, and hosts taken out by hand."""
