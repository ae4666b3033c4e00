"""harriertrack: a storage gateway whose heads decide when and to which storage node each request goes."""
