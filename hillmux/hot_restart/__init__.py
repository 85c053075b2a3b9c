"""Hot restart: a new process of a gateway takes over listener, state and connections from the running one."""
