"""The hosted service: a multi-tenant gateway, configured by a file, with its own counter."""
