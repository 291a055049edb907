"""Administration API `/admin/v1`."""
