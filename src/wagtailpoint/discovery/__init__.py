"""What is out there: backend servers, evacuated failure domains, the other instances."""
