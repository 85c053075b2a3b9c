"""Stand-ins of what a gateway talks to, written from the platform's protocol page."""
