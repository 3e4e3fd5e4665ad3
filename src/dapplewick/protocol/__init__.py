"""Wire protocols between controllers and users, workers, the cloud, the state service and peers."""
