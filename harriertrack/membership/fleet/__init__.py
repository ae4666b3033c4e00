"""The heads' view of their own fleet. Pure: datagrams and time in, datagrams and events out."""
