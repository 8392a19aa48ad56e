"""Estimators and arithmetic that know nothing of requests or endpoints."""
