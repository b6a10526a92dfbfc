"""The store of what must last: narrow interfaces, client, documents."""
