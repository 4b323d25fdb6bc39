"""The store's tables: following, relaying and decoding them."""
