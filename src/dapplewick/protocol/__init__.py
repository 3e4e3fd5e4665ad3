"""Messages on the wire, by counterpart: users, workers, cloud, state service and controllers."""
