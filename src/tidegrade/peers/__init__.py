"""Connections and messages between the proxies of one deployment."""
