// Logging.cpp - Placeholder until the shell is merged.
