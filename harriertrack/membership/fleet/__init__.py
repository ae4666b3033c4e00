"""Who is there: the heads' own view of their fleet. Pure: datagrams and time in, datagrams and news out."""
