"""Estimators and arithmetic that do not depend on requests or endpoints."""
