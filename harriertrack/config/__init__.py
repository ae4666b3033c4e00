"""Settings and other S-expression files, converted to validated frozen structs."""
