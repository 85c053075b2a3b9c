"""The hosted service: many tenants on one gateway, from a file, with a counter of its own."""
