"""Wagtaildale: configuration distribution for a service mesh."""
