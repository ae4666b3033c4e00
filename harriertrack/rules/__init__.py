"""The rules, judged from recordings of what the sockets carried."""
