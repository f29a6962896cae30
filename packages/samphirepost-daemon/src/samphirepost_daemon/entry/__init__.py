"""The entry daemon: its durable state is in the platform's store."""
