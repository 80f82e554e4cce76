"""Commands of the command line, HTTP clients and output formats."""
