"""Stand-ins for the services that a gateway talks to, as the platform's protocol specifies them."""
