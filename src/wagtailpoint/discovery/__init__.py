"""Discovery of backend servers, evacuated failure domains and the other instances."""
